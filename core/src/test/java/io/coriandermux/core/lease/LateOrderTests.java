package io.coriandermux.core.lease;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.coriandermux.core.notice.NoticeKind;
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
	void repeatsAnUnansweredStartLongBeforeTheCallTimesOut() {
		answerUsualStarts();
		this.harness.requestStart(LATE);
		this.harness.advance(30);
		assertThat(startsOf(LATE)).isEqualTo(1);
		this.harness.answerPoll(List.of(), List.of());
		assertThat(startsOf(LATE)).isEqualTo(2);
		assertThat(lastLease().token()).isEqualTo(8);
		assertThat(this.harness.stops).isEmpty();
		assertThat(this.harness.outcomes(LATE)).isEmpty();
	}

	@Example
	void stopsAnUnansweredRunAtADrainingEndpointLongBeforeTheCallTimesOut() {
		answerUsualStarts();
		requestStartAndDrain();
		this.harness.answerPoll(List.of(), List.of());
		assertThat(startsOf(LATE)).isEqualTo(1);
		assertThat(this.harness.stops).containsExactly(LATE);
		assertThat(this.harness.outcomes(LATE)).isEmpty();
	}

	@Example
	void reportsAnUnansweredRunAtADrainingEndpointOnlyAfterAConfirmedStop() {
		answerUsualStarts();
		requestStartAndDrain();
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
		this.harness.advance(50);
		this.harness.answerStart(LATE, OrderResult.UNANSWERED);
		this.harness.advance(10);
		this.harness.answerStart(other, OrderResult.UNANSWERED);
		assertThat(lastLease().token()).isEqualTo(8);
		assertThat(lastLease().expiresAtMillis()).isPresent();
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

	// Guards against two orders of which the endpoint may carry out both: the answer to a
	// poll with the token of the first order does not prove that it is shut out.
	@Example
	void repeatsAStartOnlyAfterAPollWithAHigherToken() {
		this.harness.requestStart(LATE);
		this.harness.advance(100);
		Poll before = this.harness.polls.get(this.harness.polls.size() - 1);
		this.harness.answerStart(LATE, OrderResult.UNANSWERED);
		this.harness.leaseManager.onPollAnswered(before, OrderResult.ACCEPTED,
				Optional.of(new PollAnswer(this.harness.endpointClockMillis(),
						LeaseManagerHarness.ENDPOINT_INCARNATION.startedAtMillis(), List.of(), List.of())),
				this.harness.now());
		assertThat(startsOf(LATE)).isEqualTo(1);
		this.harness.answerPoll(List.of(), List.of());
		assertThat(startsOf(LATE)).isEqualTo(2);
	}

	// Guards against a task that starts elsewhere because a repeated order was refused,
	// while the next incarnation of the endpoint may carry out the first one.
	@Example
	void aRefusalOfARepeatedStartDoesNotEndARunWhoseFirstOrderWasNotAnswered() {
		for (OrderResult refusal : List.of(OrderResult.NO_ROOM, OrderResult.UNHEALTHY, OrderResult.FENCED,
				OrderResult.LEASE_PASSED, OrderResult.OTHER_LIFE, OrderResult.NOT_SENT)) {
			RunId run = LeaseManagerHarness.run("refused-" + refusal, 1);
			LeaseManagerHarness guard = LeaseManagerHarness.settled();
			guard.requestStart(run);
			guard.answerStart(run, OrderResult.UNANSWERED);
			guard.answerPoll(List.of(), List.of());
			guard.answerStart(run, refusal);
			assertThat(guard.outcomes(run)).isEmpty();
			guard.advance(170);
			guard.answerPoll(List.of(), List.of());
			assertThat(guard.starts).containsExactly(run, run, run);
			guard.answerStart(run, OrderResult.ACCEPTED);
			guard.answerPoll(List.of(), List.of(new EndedRun(1, run, RunOutcome.DONE)));
			assertThat(guard.outcomes(run)).containsExactly(RunOutcome.DONE);
		}
	}

	@Example
	void reportsTheListedEndOfARunWhoseFirstOrderWasCarriedOutAfterAll() {
		this.harness.requestStart(LATE);
		this.harness.answerStart(LATE, OrderResult.UNANSWERED);
		this.harness.answerPoll(List.of(), List.of());
		this.harness.answerStart(LATE, OrderResult.SUPERSEDED);
		assertThat(this.harness.outcomes(LATE)).isEmpty();
		this.harness.answerPoll(List.of(), List.of(new EndedRun(1, LATE, RunOutcome.DONE)));
		assertThat(this.harness.outcomes(LATE)).containsExactly(RunOutcome.DONE);
	}

	// Guards against two runs of a task: the endpoint crashes, the task starts elsewhere,
	// and the next incarnation carries out the first order before a poll reaches it.
	@Example
	void reportsNoLapseWhileTheNextIncarnationMayCarryOutAnOrder() {
		startAtTheSecondAttempt();
		this.harness.advance(11_000);
		this.harness.leaseManager.onStopAnswered(LATE, OrderResult.NOT_SENT, OptionalLong.empty(), this.harness.now());
		assertThat(this.harness.outcomes(LATE)).isEmpty();
		this.harness.advance(2_000);
		assertThat(this.harness.outcomes(LATE)).containsExactly(RunOutcome.LAPSED);
	}

	@Example
	void stopsARunAtTheNextIncarnationThatMayCarryOutItsOrder() {
		startAtTheSecondAttempt();
		this.harness.answerPoll(2000, List.of(), List.of());
		this.harness.answerPoll(2000, List.of(new ActiveRun(LATE, 1)), List.of());
		this.harness.advance(20);
		assertThat(this.harness.stops).containsExactly(LATE);
		assertThat(this.harness.outcomes(LATE)).isEmpty();
		this.harness.answerPoll(2000, List.of(), List.of(new EndedRun(1, LATE, RunOutcome.STOPPED)));
		assertThat(this.harness.outcomes(LATE)).containsExactly(RunOutcome.ENDPOINT_LOST);
	}

	// Guards against a task that waits for 12 s although its only order was carried out.
	@Example
	void anUnansweredOrderCountsAsCarriedOutOnceTheRunIsListed() {
		this.harness.requestStart(LATE);
		this.harness.answerStart(LATE, OrderResult.UNANSWERED);
		this.harness.answerPoll(List.of(new ActiveRun(LATE, 1)), List.of());
		this.harness.advance(1_000);
		assertThat(this.harness.outcomes(LATE)).containsExactly(RunOutcome.LAPSED);
	}

	// Guards against a timeout that stays at 20 ms although the endpoint needs longer for
	// each order: every order would be shut out and repeated.
	@Example
	void learnsTheAnswerTimeOfAnOrderThatItHasShutOut() {
		answerUsualStarts();
		this.harness.requestStart(LATE);
		this.harness.advance(30);
		this.harness.answerPoll(List.of(), List.of());
		this.harness.advance(10);
		this.harness.answerStart(LATE, OrderResult.FENCED);
		this.harness.answerStart(LATE, OrderResult.ACCEPTED);
		this.harness.answerPoll(List.of(new ActiveRun(LATE, 1)), List.of());
		this.harness.notices.clear();
		this.harness.requestStart(LeaseManagerHarness.run("next", 1));
		this.harness.advance(30);
		assertThat(this.harness.notices(NoticeKind.ORDER_UNANSWERED)).isEmpty();
		this.harness.advance(20);
		assertThat(this.harness.notices(NoticeKind.ORDER_UNANSWERED)).hasSize(1);
	}

	private void startAtTheSecondAttempt() {
		this.harness.requestStart(LATE);
		this.harness.answerStart(LATE, OrderResult.UNANSWERED);
		this.harness.answerPoll(List.of(), List.of());
		this.harness.answerStart(LATE, OrderResult.ACCEPTED);
		this.harness.answerPoll(List.of(new ActiveRun(LATE, 1)), List.of());
	}

	private void requestStartAndDrain() {
		this.harness.requestStart(LATE);
		this.harness.sendHeartbeat(LeaseManagerHarness.ENDPOINT_INCARNATION, true);
		this.harness.advance(30);
	}

	private long startsOf(RunId run) {
		return this.harness.starts.stream().filter(run::equals).count();
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
