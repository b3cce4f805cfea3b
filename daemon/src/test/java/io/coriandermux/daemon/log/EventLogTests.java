package io.coriandermux.daemon.log;

import io.coriandermux.core.id.Moment;
import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against ordinary runs that evict the events of links and sessions from the
 * recent ones, and against a list that grows without limit.
 */
class EventLogTests {

	private long millis = 1_000;

	private final EventLog log = new EventLog("test", () -> new Moment(this.millis * 1_000_000, this.millis));

	@Example
	void keepsOtherEventsWhileRunsAreRecorded() {
		this.log.record(LogEvent.PEER_LOST, "guard-1", "incarnation 1");
		for (int count = 0; count < 20_000; count++) {
			this.millis++;
			this.log.record(new Notice(NoticeKind.RUN_ORDERED, "b1.0.0#1", "by entry-1"));
		}
		assertThat(this.log.recentEvents()).hasSize(8_193);
		assertThat(this.log.recentEvents().get(0).name()).isEqualTo("PEER_LOST");
	}

	// Guards against a memory that fills with the texts of other writers.
	@Example
	void shortensLongTexts() {
		this.log.record(LogEvent.VALUE_MALFORMED, "s".repeat(100_000), "d".repeat(100_000));
		RecentEvent event = this.log.recentEvents().get(0);
		assertThat(event.subject()).hasSize(4003).startsWith("s");
		assertThat(event.detail()).hasSize(4003).endsWith("d...");
	}

	@Example
	void returnsTheEventsOfRunsAndOthersInTheOrderOfTime() {
		this.log.record(new Notice(NoticeKind.RUN_ORDERED, "b1.0.0#1", "by entry-1"));
		this.millis++;
		this.log.record(LogEvent.PEER_LOST, "guard-1", "incarnation 1");
		this.millis++;
		this.log.record(new Notice(NoticeKind.RUN_ENDED, "b1.0.0#1", "DONE"));
		assertThat(this.log.recentEvents()).extracting(RecentEvent::name)
			.containsExactly("RUN_ORDERED", "PEER_LOST", "RUN_ENDED");
	}

}
