package io.coriandermux.core.lease;

import java.util.List;
import java.util.Optional;
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

	// Guards against an order that is carried out seconds later although the endpoint has
	// answered since: a poll that renews the lease beyond what the guard counts with.
	@Example
	void raisesTheTokenOnceForAllUnansweredOrdersThatCarriedIt() {
		RunId other = LeaseManagerHarness.run("other", 1);
		this.harness.requestStart(LATE);
		this.harness.requestStart(other);
		this.harness.answerStart(LATE, OrderResult.UNANSWERED);
		this.harness.answerStart(other, OrderResult.UNANSWERED);
		assertThat(lastLease().token()).isEqualTo(8);
		failLastPoll(OrderResult.UNANSWERED);
		this.harness.advance(100);
		assertThat(lastLease().token()).isEqualTo(9);
	}

	// Guards against a token that exceeds those of the following guards by minutes,
	// because an order was refused that the guard itself has shut out.
	@Example
	void doesNotRaiseTheTokenByAMinuteForAnOrderThatItHasShutOut() {
		RunId other = LeaseManagerHarness.run("other", 1);
		this.harness.requestStart(LATE);
		this.harness.requestStart(other);
		this.harness.answerStart(LATE, OrderResult.UNANSWERED);
		this.harness.answerStart(other, OrderResult.FENCED);
		assertThat(this.harness.leaseManager.status().token()).isEqualTo(8);
		assertThat(this.harness.outcomes(other)).containsExactly(RunOutcome.NOT_STARTED);
		failLastPoll(OrderResult.FENCED);
		assertThat(this.harness.leaseManager.status().token()).isEqualTo(60_008);
	}

	private LeaseTerms lastLease() {
		return this.harness.leases.get(this.harness.leases.size() - 1);
	}

	private void failLastPoll(OrderResult result) {
		this.harness.leaseManager.onPollAnswered(this.harness.polls.get(this.harness.polls.size() - 1), result,
				Optional.empty(), this.harness.now());
	}

	private void answerUsualStarts() {
		for (int i = 0; i < 10; i++) {
			RunId run = LeaseManagerHarness.run("usual" + i, 1);
			this.harness.startRunning(run);
			this.harness.answerPoll(List.of(), List.of(new EndedRun(i + 1, run, RunOutcome.DONE)));
		}
	}

}
