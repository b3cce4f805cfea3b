package io.coriandermux.daemon.run;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.coriandermux.core.id.Moment;
import io.coriandermux.daemon.log.EventLog;
import io.coriandermux.wire.SystemTime;
import io.coriandermux.wire.TimeSource;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a process that goes on without its decisions.
 */
class DecisionLoopTests {

	private static final long MILLI = 1_000_000;

	private final SystemTime time = new SystemTime(Clock.systemUTC());

	// Guards against a stack overflow that ends the thread without ending the process,
	// which then neither serves nor is started again.
	@Example
	void aStackOverflowEndsTheProcessLikeAnException() throws InterruptedException {
		CountDownLatch failed = new CountDownLatch(1);
		try (DecisionLoop loop = new DecisionLoop("test", DecisionLoop.NO_AFTER_BATCH_ACTION,
				DecisionLoop.NO_AFTER_BATCH_ACTION, this.time, new EventLog("test", this.time), failed::countDown)) {
			loop.start();
			loop.put(() -> {
				throw new StackOverflowError("error of this test");
			});
			assertThat(failed.await(20, TimeUnit.SECONDS)).isTrue();
			assertThat(loop.hasFailed()).isTrue();
		}
	}

	// Guards against decisions after a standstill that no line of the log explains.
	@Example
	void reportsThatItStoodStillBeforeTheQueuedWork() {
		AtomicLong nanos = new AtomicLong(1);
		TimeSource clock = () -> new Moment(nanos.get(), 0);
		EventLog log = new EventLog("test", clock);
		List<Integer> reportedBeforeWork = new ArrayList<>();
		try (DecisionLoop loop = new DecisionLoop("test", DecisionLoop.NO_AFTER_BATCH_ACTION,
				DecisionLoop.NO_AFTER_BATCH_ACTION, clock, log, DecisionLoop.NO_AFTER_BATCH_ACTION)) {
			nanos.addAndGet(399 * MILLI);
			loop.runOnce();
			assertThat(log.recentEvents()).isEmpty();
			nanos.addAndGet(1_250 * MILLI);
			loop.put(() -> reportedBeforeWork.add(log.recentEvents().size()));
			loop.runOnce();
			loop.runOnce();
		}
		assertThat(reportedBeforeWork).containsExactly(1);
		assertThat(log.recentEvents()).singleElement().satisfies((event) -> {
			assertThat(event.name()).isEqualTo("DECISIONS_STALLED");
			assertThat(event.detail()).isEqualTo("no periodic work for 1250 ms");
		});
	}

}
