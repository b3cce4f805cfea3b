package io.coriandermux.core.lease;

import java.util.List;
import java.util.OptionalLong;

import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Pattern: an endpoint leaves some start orders unanswered and carries them out seconds
 * later. Guards against a task that waits for the timeout of the call although answers
 * usually take a millisecond, and against a task that starts elsewhere while its former
 * run may still start.
 */
class LateOrderTests {

	private static final RunId LATE = LeaseManagerHarness.run("late", 1);

	private final LeaseManagerHarness harness = LeaseManagerHarness.settled();

	@Example
	void stopsAnUnansweredRunLongBeforeTheCallTimesOut() {
		answerUsualStarts();
		this.harness.requestStart(LATE);
		this.harness.advance(30);
		this.harness.answerPoll(List.of(), List.of());
		assertThat(this.harness.stops).containsExactly(LATE);
		assertThat(this.harness.outcomes(LATE)).isEmpty();
	}

	@Example
	void reportsAnUnansweredRunOnlyAfterAConfirmedStop() {
		answerUsualStarts();
		this.harness.requestStart(LATE);
		this.harness.advance(30);
		this.harness.answerPoll(List.of(), List.of());
		this.harness.answerPoll(List.of(), List.of());
		assertThat(this.harness.outcomes(LATE)).isEmpty();
		this.harness.leaseManager.onStopAnswered(LATE, OrderResult.ACCEPTED, OptionalLong.of(0), this.harness.now());
		this.harness.answerPoll(List.of(), List.of());
		assertThat(this.harness.outcomes(LATE)).containsExactly(RunOutcome.NOT_STARTED);
	}

	@Example
	void continuesARunWhoseStartIsAnsweredLateButBeforeThePoll() {
		answerUsualStarts();
		this.harness.requestStart(LATE);
		this.harness.advance(30);
		this.harness.answerStart(LATE, OrderResult.ACCEPTED);
		this.harness.answerPoll(List.of(new ActiveRun(LATE, 10)), List.of());
		assertThat(this.harness.stops).isEmpty();
		this.harness.answerPoll(List.of(), List.of(new EndedRun(11, LATE, RunOutcome.DONE)));
		assertThat(this.harness.outcomes(LATE)).containsExactly(RunOutcome.DONE);
	}

	@Example
	void waitsForTheCallWhenNoAnswerTimeIsKnown() {
		this.harness.requestStart(LATE);
		this.harness.advance(100);
		this.harness.answerPoll(List.of(), List.of());
		assertThat(this.harness.stops).isEmpty();
	}

	private void answerUsualStarts() {
		for (int i = 0; i < 10; i++) {
			RunId run = LeaseManagerHarness.run("usual" + i, 1);
			this.harness.startRunning(run);
			this.harness.answerPoll(List.of(), List.of(new EndedRun(i + 1, run, RunOutcome.DONE)));
		}
	}

}
