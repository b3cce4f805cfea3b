package io.coriandermux.daemon.batch;

import java.io.IOException;
import java.time.Clock;
import java.util.List;
import java.util.OptionalLong;

import com.codahale.metrics.Timer;
import io.coriandermux.core.id.RackName;
import io.coriandermux.core.id.ZoneName;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.SessionPong;
import io.coriandermux.core.message.StopRun;
import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.run.BatchId;
import io.coriandermux.core.run.RunId;
import io.coriandermux.daemon.log.RecentEvent;
import io.coriandermux.daemon.run.DecisionLoop;
import io.coriandermux.daemon.settings.ProcessSettings;
import io.coriandermux.version.ProgramVersion;
import io.coriandermux.wire.LinkListener;
import io.coriandermux.wire.PeerIdentity;
import io.coriandermux.wire.PeerName;
import io.coriandermux.wire.PeerRole;
import io.coriandermux.wire.SystemTime;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request to stop a run that is lost without a record, and against a
 * record whose version is unknown.
 */
class BatchProcessTests {

	private static final PeerName GUARD = new PeerName(PeerRole.GUARD, "guard-1");

	private final BatchProcess process;

	BatchProcessTests() throws IOException {
		ProcessSettings settings = new ProcessSettings("entry-1", new ZoneName("zone"), new RackName("rack"),
				"127.0.0.1", 0, 0, List.of(), "a secret for this test", 64, 1000);
		this.process = new BatchProcess(PeerRole.ENTRY, settings, new SystemTime(Clock.systemUTC()), new MemoryStore(),
				new BatchProcess.EventHandlers(DecisionLoop.NO_AFTER_BATCH_ACTION, () -> {
				}, new NoEvents(), (previous) -> {
				}));
		this.process.start(() -> "status");
	}

	@AfterTry
	void close() {
		this.process.close();
	}

	@Example
	void countsDroppedMessagesByTypeAndNamesTheRunThatIsNotStopped() {
		this.process.onDropped(GUARD, new StopRun(new RunId(new BatchId("b1"), 0, 2, 1)));
		this.process.onDropped(GUARD, new SessionPong(1));
		this.process.onDropped(GUARD, new SessionPong(2));
		assertThat(count("messages.dropped.StopRun")).isEqualTo(1);
		assertThat(count("messages.dropped.SessionPong")).isEqualTo(2);
		assertThat(count("notices.stop_dropped")).isEqualTo(1);
		List<RecentEvent> dropped = this.process.context()
			.log()
			.recentEvents()
			.stream()
			.filter((event) -> event.name().equals("STOP_DROPPED"))
			.toList();
		assertThat(dropped).hasSize(1);
		assertThat(dropped.get(0).subject()).isEqualTo("b1.0.2#1");
		assertThat(dropped.get(0).detail()).contains("guard-1");
	}

	@Example
	void countsTheNoticesOfTheDecisionsByKind() {
		this.process.record(new Notice(NoticeKind.TOKEN_RAISED, "i-1", "to 8"));
		assertThat(count("notices.token_raised")).isEqualTo(1);
	}

	@Example
	void recordsTheTimeUntilAStopIsConfirmed() {
		this.process.record(new Notice(NoticeKind.STOP_CONFIRMED, "b1.0.0#1", "STOPPED", OptionalLong.of(5_000_000)));
		Timer timer = this.process.context().metrics().registry().timer("notices.stop_confirmed.time");
		assertThat(timer.getCount()).isEqualTo(1);
		assertThat(timer.getSnapshot().getMax()).isEqualTo(5_000_000);
	}

	@Example
	void namesItsVersionAtTheStartAndWithTheMetrics() {
		assertThat(this.process.context().log().recentEvents())
			.anySatisfy((event) -> assertThat(event.detail()).contains("version " + ProgramVersion.current()));
		assertThat(this.process.context().metrics().registry().getGauges().get("version").getValue())
			.isEqualTo(ProgramVersion.current().toString());
	}

	// Guards against a shutdown of which nobody can tell who requested it and what
	// delayed it.
	@Example
	void namesTheCauseAndTheStagesOfAShutdown() {
		this.process.requestShutdown("a signal");
		this.process.requestShutdown("an operator");
		assertThat(this.process.shutDown((limitMillis) -> {
		}, () -> true, () -> {
		})).isTrue();
		this.process.close();
		assertThat(details("SHUTDOWN_STARTED")).containsExactly("requested by a signal, work in progress continues");
		assertThat(details("WORK_ENDED")).singleElement().asString().matches("\\d+ ms after the shutdown started");
		assertThat(details("STOPPED")).singleElement()
			.asString()
			.matches("all ports are closed, \\d+ ms after the shutdown started, announcement \\d+ ms, "
					+ "decisions \\d+ ms, links \\d+ ms, operators \\d+ ms");
	}

	private List<String> details(String event) {
		return this.process.context()
			.log()
			.recentEvents()
			.stream()
			.filter((recent) -> recent.name().equals(event))
			.map(RecentEvent::detail)
			.toList();
	}

	private long count(String name) {
		return this.process.context().metrics().registry().counter(name).getCount();
	}

	private static final class NoEvents implements LinkListener {

		@Override
		public boolean onConnected(PeerIdentity peer) {
			return true;
		}

		@Override
		public boolean onLost(PeerIdentity peer) {
			return true;
		}

		@Override
		public boolean onMessage(PeerIdentity peer, Message message) {
			return true;
		}

		@Override
		public void onError(String peer, String reason) {
			// These tests open no links.
		}

	}

}
