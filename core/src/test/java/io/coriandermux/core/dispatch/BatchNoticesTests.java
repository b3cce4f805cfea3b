package io.coriandermux.core.dispatch;

import java.util.List;
import java.util.Set;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a task that ran twice without a record of what its entry requested, kept
 * and released.
 */
class BatchNoticesTests {

	private static final GuardId GUARD = new GuardId("g1");

	private final DispatcherFixture fixture = DispatcherFixture.withGuards("g1");

	@Example
	void reportsTheCauseOfAStopRequest() {
		CallerRef caller = this.fixture.submit("b1", 1);
		RunId run = this.fixture.starts().get(0);
		this.fixture.dispatcher.onCallerDisconnected(caller, this.fixture.now());
		assertThat(this.fixture.notices(NoticeKind.STOP_REQUESTED)).hasSize(1);
		Notice notice = this.fixture.notices(NoticeKind.STOP_REQUESTED).get(0);
		assertThat(notice.subject()).isEqualTo(run.toString());
		assertThat(notice.detail()).contains("the caller disconnected, run at g1");
	}

	@Example
	void namesTheRunsOfAnsweredBatchesThatItListsOnANewLink() {
		CallerRef caller = this.fixture.submit("b1", 1);
		this.fixture.submit("b2", 1);
		this.fixture.dispatcher.onCallerDisconnected(caller, this.fixture.now());
		this.fixture.dispatcher.onGuardConnected(GUARD, DispatcherFixture.INCARNATION);
		assertThat(details(NoticeKind.RUNS_LISTED))
			.containsExactly("2 runs listed to incarnation 1, 1 of answered batches");
		assertThat(details(NoticeKind.ANSWERED_RUNS_LISTED)).hasSize(1);
		assertThat(details(NoticeKind.ANSWERED_RUNS_LISTED).get(0)).endsWith("b1.0.0#1 at g1");
	}

	@Example
	void reportsNoListOfRunsOnALinkWithoutRuns() {
		this.fixture.dispatcher.onGuardConnected(GUARD, DispatcherFixture.INCARNATION);
		assertThat(this.fixture.notices(NoticeKind.RUNS_LISTED)).isEmpty();
		assertThat(this.fixture.notices(NoticeKind.ANSWERED_RUNS_LISTED)).isEmpty();
	}

	@Example
	void reportsWhatAResubmissionFound() {
		CallerRef caller = this.fixture.submit("b1", 1);
		CallerRef second = this.fixture.submit("b1", 1);
		this.fixture.dispatcher.onCallerDisconnected(caller, this.fixture.now());
		this.fixture.dispatcher.onCallerDisconnected(second, this.fixture.now());
		this.fixture.submit("b1", 1);
		List<String> found = details(NoticeKind.BATCH_RESUBMITTED);
		assertThat(found).hasSize(2);
		assertThat(found.get(0)).contains("in progress", "b1.0.0#1 at g1");
		assertThat(found.get(1)).contains("answered but not ended", "b1.0.0#1 at g1");
	}

	@Example
	void reportsTheReleaseOfARunAtALostGuard() {
		this.fixture.submit("b1", 1);
		this.fixture.reportLoad("g1", DispatcherFixture.CAPACITY, DispatcherFixture.CAPACITY, Set.of(), 1);
		this.fixture.dispatcher.onGuardLost(GUARD, DispatcherFixture.INCARNATION, this.fixture.now());
		this.fixture.advance(2_500);
		assertThat(details(NoticeKind.RUN_RELEASED)).hasSize(1);
		assertThat(details(NoticeKind.RUN_RELEASED).get(0)).contains("guard g1 is lost, placed ");
	}

	// Guards against a record that does not tell whether a task was started again because
	// of an earlier incarnation of its guard, or too early.
	@Example
	void namesTheIncarnationOfTheGuardOfARetriedTaskAndTheCertainEndOfItsRun() {
		this.fixture.submit("b1", 1);
		this.fixture.endRun("g1", this.fixture.starts().get(0), RunOutcome.NO_ROOM);
		assertThat(details(NoticeKind.TASK_RETRIED)).containsExactly("NO_ROOM at g1 incarnation 1 after 0 ms");
		this.fixture.reportLoad("g1", DispatcherFixture.CAPACITY, DispatcherFixture.CAPACITY, Set.of(), 2);
		this.fixture.advance(100);
		assertThat(this.fixture.starts()).hasSize(2);
		this.fixture.dispatcher.onGuardLost(GUARD, DispatcherFixture.INCARNATION, this.fixture.now());
		this.fixture.advance(20_000);
		assertThat(details(NoticeKind.TASK_RETRIED)).hasSize(2);
		assertThat(details(NoticeKind.TASK_RETRIED).get(1))
			.matches("guard g1 incarnation 1 is lost, the run has ended, certainly \\d+ ms after it was placed, "
					+ "\\d+ ms ago");
	}

	@Example
	void reportsAnEndThatArrivesAfterTheRunWasReleased() {
		this.fixture.submit("b1", 1);
		RunId run = this.fixture.starts().get(0);
		this.fixture.endRun("g1", run, RunOutcome.DONE);
		this.fixture.endRun("g1", run, RunOutcome.DONE);
		assertThat(details(NoticeKind.RUN_END_RECEIVED)).containsExactly("DONE from g1",
				"DONE from g1, ignored: not placed there");
	}

	private List<String> details(NoticeKind kind) {
		return this.fixture.notices(kind).stream().map(Notice::detail).toList();
	}

}
