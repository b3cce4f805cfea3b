package io.coriandermux.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.message.HeldRuns;
import io.coriandermux.core.message.RunEnded;
import io.coriandermux.core.message.SessionPing;
import io.coriandermux.core.run.BatchId;
import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against incorrect answers, against a task that is started while an earlier run
 * of it may still be in progress, and against runs that continue without a caller.
 */
class BatchDispatcherTests {

	@Example
	void completesABatchWhenAllItsTasksAreDone() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1", "g2");
		CallerRef caller = fixture.submit("b1", 3);
		assertThat(fixture.starts()).hasSize(3);
		fixture.starts("g1").forEach((run) -> fixture.endRun("g1", run, RunOutcome.DONE));
		assertThat(fixture.answers).isEmpty();
		fixture.starts("g2").forEach((run) -> fixture.endRun("g2", run, RunOutcome.DONE));
		assertThat(fixture.verdict(caller)).isEqualTo(BatchVerdict.COMPLETED);
	}

	@Example
	void refusesABatchWithoutARoute() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		CallerRef caller = fixture.submit("/other/b1", new BatchRequest(new BatchId("b1"), "spec",
				new TaskGroup(1, DispatcherFixture.NEEDS, 200, "", "", 0), 3_000, Optional.empty()));
		assertThat(fixture.verdict(caller)).isEqualTo(BatchVerdict.NO_ROUTE);
	}

	@Example
	void ignoresAnOlderConfiguration() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		assertThat(fixture.dispatcher.applyRoutes(DispatcherFixture.routes(5, "/new/"))).isTrue();
		assertThat(fixture.dispatcher.applyRoutes(DispatcherFixture.routes(4, "/q/"))).isFalse();
		assertThat(fixture.verdict(fixture.submit("b1", 1))).isEqualTo(BatchVerdict.NO_ROUTE);
	}

	@Example
	void refusesAtOnceABatchThatFitsNoEndpoint() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		CallerRef caller = fixture.submit("b1", new TaskGroup(1, new ResourceAmounts(20_000, 1, 0), 200, "", "", 0));
		assertThat(fixture.verdict(caller)).isEqualTo(BatchVerdict.UNAVAILABLE);
	}

	@Example
	void refusesABatchThatIsNotStartedByItsLatestStart() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		fixture.submit("b1", 2);
		CallerRef caller = fixture.submit("b2", 1);
		fixture.advance(50);
		assertThat(fixture.verdict(caller)).isNull();
		fixture.advance(200);
		assertThat(fixture.verdict(caller)).isEqualTo(BatchVerdict.OVERLOADED);
		assertThat(fixture.starts()).noneMatch((run) -> run.batch().value().equals("b2"));
		assertThat(fixture.answers.get(caller).retryAfterMillis()).isPositive();
	}

	@Example
	void startsAWaitingBatchWhenCapacityBecomesFree() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		fixture.submit("b1", 2);
		fixture.submit("b2", 1);
		RunId first = fixture.starts("g1").get(0);
		fixture.endRun("g1", first, RunOutcome.DONE);
		fixture.reportLoad("g1", DispatcherFixture.CAPACITY, new ResourceAmounts(6_000, 900, 0), Set.of(), 2);
		assertThat(fixture.starts()).hasSize(3);
	}

	@Example
	void doesNotReuseCapacityThatItsUncountedOrdersHold() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		fixture.submit("b1", 1);
		fixture.reportLoad("g1", DispatcherFixture.CAPACITY, DispatcherFixture.CAPACITY, Set.of(), 0);
		fixture.submit("b2", 2);
		assertThat(fixture.starts()).hasSize(2);
	}

	@Example
	void retriesAFailedTaskAtAnotherEndpoint() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1", "g2");
		fixture.submit("b1", 1);
		RunId run = fixture.starts().get(0);
		String guard = fixture.starts("g1").isEmpty() ? "g2" : "g1";
		fixture.endRun(guard, run, RunOutcome.FAILED);
		assertThat(fixture.starts()).hasSize(2);
		assertThat(fixture.starts(guard)).hasSize(1);
	}

	@Example
	void failsABatchWhenATaskReachesTheAttemptLimitOfItsRoute() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1", "g2");
		CallerRef caller = fixture.submit("b1", 1);
		for (int attempt = 0; attempt < 2; attempt++) {
			RunId run = fixture.starts().get(attempt);
			fixture.endRun(fixture.starts("g1").contains(run) ? "g1" : "g2", run, RunOutcome.FAILED);
		}
		assertThat(fixture.verdict(caller)).isEqualTo(BatchVerdict.FAILED);
		assertThat(fixture.starts()).hasSize(2);
	}

	@Example
	void incrementsTheAttemptWithEachStartOfATask() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		fixture.submit("b1", 1);
		fixture.endRun("g1", fixture.starts().get(0), RunOutcome.LAPSED);
		fixture.advance(400);
		assertThat(fixture.starts()).extracting(RunId::attempt).containsExactly(1, 2);
	}

	@Example
	void retriesNoTaskOfALostGuardBeforeItsRunHasCertainlyEnded() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		fixture.submit("b1", 1);
		fixture.reportLoad("g1", DispatcherFixture.CAPACITY, DispatcherFixture.CAPACITY, Set.of(), 1);
		fixture.dispatcher.onGuardLost(new GuardId("g1"), DispatcherFixture.INCARNATION, fixture.now());
		fixture.connectGuard("g2", DispatcherFixture.CAPACITY, Set.of());
		fixture.advance(490);
		assertThat(fixture.starts("g2")).isEmpty();
		fixture.advance(20);
		assertThat(fixture.starts("g2")).hasSize(1);
	}

	// Guards against a start order that the endpoint carries out seconds later, beside
	// the retry, because its guard was lost before it knew whether the run had started.
	@Example
	void retriesNoTaskOfALostGuardWhoseStartIsNotConfirmed() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		CallerRef caller = fixture.submit("b1", 1);
		fixture.reportLoad("g1", DispatcherFixture.CAPACITY, DispatcherFixture.CAPACITY, Set.of(), 0);
		fixture.dispatcher.onGuardLost(new GuardId("g1"), DispatcherFixture.INCARNATION, fixture.now());
		fixture.connectGuard("g2", DispatcherFixture.CAPACITY, Set.of());
		fixture.advance(13_900);
		assertThat(fixture.starts("g2")).isEmpty();
		assertThat(fixture.verdict(caller)).isEqualTo(BatchVerdict.UNFINISHED);
	}

	// Guards against a late start beside the retry, because a load that the guard has
	// sent
	// to the former incarnation of this entry counts orders of that one.
	@Example
	void takesNoOrderForConfirmedThatItHasSentAfterTheLoadThatCountsIt() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		fixture.reportLoad("g1", DispatcherFixture.CAPACITY, DispatcherFixture.CAPACITY, Set.of(), 57);
		fixture.submit("b1", 1);
		fixture.dispatcher.onGuardLost(new GuardId("g1"), DispatcherFixture.INCARNATION, fixture.now());
		fixture.connectGuard("g2", DispatcherFixture.CAPACITY, Set.of());
		fixture.advance(2_000);
		assertThat(fixture.starts("g2")).isEmpty();
	}

	// Guards against a task that waits although the next guard reports that it was not
	// started.
	@Example
	void retriesAnUnconfirmedTaskWhenTheNextGuardReportsThatItWasNotStarted() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		fixture.submit("b1", 1);
		fixture.dispatcher.onGuardLost(new GuardId("g1"), DispatcherFixture.INCARNATION, fixture.now());
		fixture.connectGuard("g2", DispatcherFixture.CAPACITY, Set.of());
		Incarnation next = new Incarnation(DispatcherFixture.INCARNATION.value() + 1);
		fixture.dispatcher.onGuardConnected(new GuardId("g1"), next);
		fixture.dispatcher.onMessage(new GuardId("g1"), next,
				new RunEnded(fixture.starts("g1").get(0), RunOutcome.NOT_STARTED, 0), fixture.now());
		fixture.advance(20);
		assertThat(fixture.starts("g2")).hasSize(1);
	}

	@Example
	void retriesNoTaskWhenItsGuardReconnects() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		fixture.submit("b1", 1);
		fixture.dispatcher.onGuardLost(new GuardId("g1"), DispatcherFixture.INCARNATION, fixture.now());
		fixture.connectGuard("g1", DispatcherFixture.CAPACITY, Set.of());
		fixture.connectGuard("g2", DispatcherFixture.CAPACITY, Set.of());
		fixture.advance(700);
		assertThat(fixture.starts()).hasSize(1);
	}

	@Example
	void waitsForTheEndOfASessionConfirmedJustBeforeTheGuardWasLost() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		fixture.dispatcher.onMessage(new GuardId("g1"), DispatcherFixture.INCARNATION, new SessionPing(1),
				fixture.now());
		fixture.submit("b1", 1);
		fixture.reportLoad("g1", DispatcherFixture.CAPACITY, DispatcherFixture.CAPACITY, Set.of(), 1);
		fixture.dispatcher.onGuardLost(new GuardId("g1"), DispatcherFixture.INCARNATION, fixture.now());
		fixture.connectGuard("g2", DispatcherFixture.CAPACITY, Set.of());
		fixture.advance(1_690);
		assertThat(fixture.starts("g2")).isEmpty();
		fixture.advance(20);
		assertThat(fixture.starts("g2")).hasSize(1);
	}

	@Example
	void retriesATaskAtOnceWhenItsGuardConfirmsTheEndOfTheRun() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		fixture.submit("b1", 1);
		RunId run = fixture.starts().get(0);
		fixture.dispatcher.onGuardLost(new GuardId("g1"), DispatcherFixture.INCARNATION, fixture.now());
		fixture.connectGuard("g1", DispatcherFixture.CAPACITY, Set.of());
		assertThat(fixture.sentMessages).anyMatch((sent) -> sent.message().equals(new HeldRuns(List.of(run))));
		fixture.endRun("g1", run, RunOutcome.NOT_STARTED);
		fixture.advance(50);
		assertThat(fixture.starts()).hasSize(2);
	}

	@Example
	void doesNotRepeatStartsInALoopWhenTheEndpointIsUnreachable() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		fixture.submit("b1", 1);
		for (int count = 0; count < 20; count++) {
			fixture.endRun("g1", fixture.starts().get(fixture.starts().size() - 1), RunOutcome.NOT_STARTED);
		}
		assertThat(fixture.starts()).hasSize(1);
	}

	@Example
	void stopsTheTasksOfADisconnectedCaller() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		CallerRef caller = fixture.submit("b1", 2);
		fixture.dispatcher.onCallerDisconnected(caller, fixture.now());
		assertThat(fixture.stops()).containsExactlyElementsOf(fixture.starts());
	}

	// Guards against a run that goes on after its caller has left: the stop request was
	// lost with the link, and on the new link the run was listed as one that is still
	// needed.
	@Example
	void repeatsTheStopOfADisconnectedCallersRunsOnANewLink() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		CallerRef caller = fixture.submit("b1", 2);
		fixture.dispatcher.onCallerDisconnected(caller, fixture.now());
		fixture.sentMessages.clear();
		fixture.connectGuard("g1", DispatcherFixture.CAPACITY, Set.of());
		assertThat(fixture.stops()).hasSize(2);
	}

	@Example
	void keepsABatchForItsOtherCaller() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		CallerRef first = fixture.submit("b1", 1);
		CallerRef second = fixture.submit("b1", 1);
		fixture.dispatcher.onCallerDisconnected(first, fixture.now());
		assertThat(fixture.stops()).isEmpty();
		assertThat(fixture.starts()).hasSize(1);
		fixture.endRun("g1", fixture.starts().get(0), RunOutcome.DONE);
		assertThat(fixture.verdict(second)).isEqualTo(BatchVerdict.COMPLETED);
	}

	@Example
	void runsAResubmittedBatchOnlyAfterItsEarlierRunsHaveEnded() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		CallerRef first = fixture.submit("b1", 1);
		RunId run = fixture.starts().get(0);
		fixture.dispatcher.onCallerDisconnected(first, fixture.now());
		CallerRef second = fixture.submit("b1", 1);
		assertThat(fixture.starts()).hasSize(1);
		fixture.endRun("g1", run, RunOutcome.STOPPED);
		assertThat(fixture.starts()).hasSize(2);
		fixture.endRun("g1", fixture.starts().get(1), RunOutcome.DONE);
		assertThat(fixture.verdict(second)).isEqualTo(BatchVerdict.COMPLETED);
	}

	// Guards against a caller that gets no answer within its wait because the runs of its
	// earlier request do not end.
	@Example
	void answersARequestThatWaitsForEarlierRunsAsUnfinishedBeforeTheCallersTimeout() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		CallerRef first = fixture.submit("b1", 1);
		fixture.dispatcher.onCallerDisconnected(first, fixture.now());
		CallerRef second = fixture.submit("b1", 1);
		fixture.advance(2_900);
		assertThat(fixture.verdict(second)).isNull();
		fixture.advance(90);
		assertThat(fixture.verdict(second)).isEqualTo(BatchVerdict.UNFINISHED);
		fixture.endRun("g1", fixture.starts().get(0), RunOutcome.STOPPED);
		assertThat(fixture.starts()).hasSize(1);
	}

	// Guards against a wait that starts again when a request is served after earlier
	// runs.
	@Example
	void countsTheWaitForEarlierRunsAsPartOfTheCallersTimeout() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		CallerRef first = fixture.submit("b1", 1);
		fixture.dispatcher.onCallerDisconnected(first, fixture.now());
		CallerRef second = fixture.submit("b1", 1);
		fixture.advance(2_000);
		fixture.endRun("g1", fixture.starts().get(0), RunOutcome.STOPPED);
		assertThat(fixture.starts()).hasSize(2);
		fixture.advance(990);
		assertThat(fixture.verdict(second)).isEqualTo(BatchVerdict.UNFINISHED);
	}

	// Guards against the answer "not run" for a batch whose earlier runs were started.
	@Example
	void doesNotRefuseABatchAsNotRunAfterEarlierRuns() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		CallerRef first = fixture.submit("b1", 1);
		fixture.dispatcher.onCallerDisconnected(first, fixture.now());
		CallerRef second = fixture.submit("b1", 1);
		fixture.reportLoad("g1", DispatcherFixture.CAPACITY, new ResourceAmounts(0, 0, 0), Set.of(), 1);
		fixture.endRun("g1", fixture.starts().get(0), RunOutcome.STOPPED);
		fixture.advance(2_990);
		assertThat(fixture.starts()).hasSize(1);
		assertThat(fixture.verdict(second)).isEqualTo(BatchVerdict.UNFINISHED);
	}

	// Guards against callers whose connection is closed without an answer at the end of a
	// shutdown.
	@Example
	void answersWaitingRequestsAtTheShutdownLimit() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		CallerRef first = fixture.submit("b1", 1);
		fixture.dispatcher.onCallerDisconnected(first, fixture.now());
		CallerRef second = fixture.submit("b1", 1);
		fixture.dispatcher.abortBatches(fixture.now());
		assertThat(fixture.verdict(second)).isEqualTo(BatchVerdict.UNFINISHED);
	}

	@Example
	void answersAStartedBatchAsUnfinishedBeforeTheCallersTimeout() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		CallerRef caller = fixture.submit("b1", 1);
		fixture.advance(2_990);
		assertThat(fixture.verdict(caller)).isEqualTo(BatchVerdict.UNFINISHED);
		assertThat(fixture.stops()).containsExactlyElementsOf(fixture.starts());
	}

	@Example
	void keepsABatchUntilTheFirstEndpointsConnectAfterAStart() {
		DispatcherFixture fixture = new DispatcherFixture();
		fixture.dispatcher.applyRoutes(DispatcherFixture.routes(1, "/q/"));
		CallerRef caller = fixture.submit("b1", 1);
		fixture.advance(300);
		assertThat(fixture.verdict(caller)).isNull();
		fixture.connectGuard("g1", DispatcherFixture.CAPACITY, Set.of());
		assertThat(fixture.starts()).hasSize(1);
	}

	@Example
	void placesBatchesThatCanMeetTheirObjectiveBeforeLateOnes() {
		DispatcherFixture fixture = new DispatcherFixture();
		fixture.dispatcher.applyRoutes(DispatcherFixture.routes(1, "/q/"));
		fixture.submit("late", 2);
		fixture.advance(300);
		fixture.submit("new", 2);
		fixture.connectGuard("g1", DispatcherFixture.CAPACITY, Set.of());
		assertThat(fixture.starts()).extracting((run) -> run.batch().value()).containsOnly("new");
	}

	@Example
	void placesATaskOnlyAtAnEndpointWithItsLabel() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		fixture.connectGuard("g2", DispatcherFixture.CAPACITY, Set.of("gpu"));
		fixture.submit("b1", new TaskGroup(2, DispatcherFixture.NEEDS, 200, "gpu", "", 0));
		assertThat(fixture.starts("g1")).isEmpty();
		assertThat(fixture.starts("g2")).hasSize(2);
	}

	@Example
	void placesNoMoreTasksOnOneEndpointThanTheBatchAllows() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1", "g2");
		fixture.submit("b1", new TaskGroup(2, DispatcherFixture.NEEDS, 200, "", "", 1));
		assertThat(fixture.starts("g1")).hasSize(1);
		assertThat(fixture.starts("g2")).hasSize(1);
	}

	// Load pattern: a burst of more work than the pool can complete in time.
	@Example
	void refusesAtOnceABatchThatCannotStartInTimeBehindQueuedWork() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		fixture.submit("b1", 2);
		fixture.advance(200);
		for (int count = 0; count < 2; count++) {
			fixture.submit("w" + count, 2);
		}
		fixture.endRun("g1", fixture.starts().get(0), RunOutcome.DONE);
		fixture.submit("w2", 2);
		CallerRef caller = fixture.submit("w3", 2);
		assertThat(fixture.verdict(caller)).isEqualTo(BatchVerdict.OVERLOADED);
		assertThat(fixture.answers.get(caller).retryAfterMillis()).isGreaterThanOrEqualTo(1000);
	}

	@Example
	void keepsABatchThatCanStartInTime() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		fixture.submit("b1", 2);
		fixture.advance(200);
		fixture.endRun("g1", fixture.starts().get(0), RunOutcome.DONE);
		CallerRef caller = fixture.submit("w1", 1);
		assertThat(fixture.verdict(caller)).isNull();
	}

	@Example
	void prefersTheRackOfTheData() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		fixture.connectGuard("g2", DispatcherFixture.CAPACITY, Set.of("r1"));
		fixture.submit("b1", new TaskGroup(1, DispatcherFixture.NEEDS, 200, "", "r1", 0));
		assertThat(fixture.starts("g2")).hasSize(1);
	}

	@Example
	void acceptsBatchesThatFitIntoTheRemainingTimeOfAShutdown() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		fixture.dispatcher.beginShutdown(5_300, fixture.now());
		fixture.advance(4_000);
		CallerRef early = fixture.submit("b1", 1);
		assertThat(fixture.verdict(early)).isNull();
		fixture.advance(1_000);
		CallerRef late = fixture.submit("b2", 1);
		assertThat(fixture.verdict(late)).isEqualTo(BatchVerdict.UNAVAILABLE);
		assertThat(fixture.starts()).hasSize(1);
		assertThat(fixture.dispatcher.closeIfIdle(fixture.now())).isFalse();
		fixture.endRun("g1", fixture.starts().get(0), RunOutcome.DONE);
		assertThat(fixture.verdict(early)).isEqualTo(BatchVerdict.COMPLETED);
		assertThat(fixture.dispatcher.closeIfIdle(fixture.now())).isTrue();
	}

	@Example
	void acceptsNoBatchAfterAnIdleShutdownIsFinished() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		fixture.dispatcher.beginShutdown(5_300, fixture.now());
		fixture.advance(3_000);
		assertThat(fixture.dispatcher.closeIfIdle(fixture.now())).isTrue();
		assertThat(fixture.verdict(fixture.submit("b1", 1))).isEqualTo(BatchVerdict.UNAVAILABLE);
		assertThat(fixture.starts()).isEmpty();
	}

	@Example
	void answersUnfinishedBatchesAtTheShutdownLimit() {
		DispatcherFixture fixture = DispatcherFixture.withGuards("g1");
		CallerRef running = fixture.submit("b1", 2);
		CallerRef waiting = fixture.submit("b2", 1);
		fixture.dispatcher.beginShutdown(100, fixture.now());
		fixture.dispatcher.abortBatches(fixture.now());
		assertThat(fixture.verdict(running)).isEqualTo(BatchVerdict.UNFINISHED);
		assertThat(fixture.verdict(waiting)).isEqualTo(BatchVerdict.UNAVAILABLE);
		assertThat(fixture.stops()).hasSize(2);
	}

}
