package io.coriandermux.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.message.HeldRuns;
import io.coriandermux.core.message.SessionPing;
import io.coriandermux.core.run.Amounts;
import io.coriandermux.core.run.BatchId;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an answer that is not true, a task that is started while a former run
 * may still go on, and work that is left running for nobody.
 */
class DispatchNodeTests {

	@Example
	void completesABatchWhenAllItsTasksAreDone() {
		DispatchBed bed = DispatchBed.with("g1", "g2");
		CallerRef caller = bed.submit("b1", 3);
		assertThat(bed.starts()).hasSize(3);
		bed.starts("g1").forEach((run) -> bed.end("g1", run, RunOutcome.DONE));
		assertThat(bed.answers).isEmpty();
		bed.starts("g2").forEach((run) -> bed.end("g2", run, RunOutcome.DONE));
		assertThat(bed.verdict(caller)).isEqualTo(BatchVerdict.COMPLETED);
	}

	@Example
	void refusesWithoutARoute() {
		DispatchBed bed = DispatchBed.with("g1");
		CallerRef caller = bed.submit("/other/b1", new BatchRequest(new BatchId("b1"), "spec",
				new TaskGroup(1, DispatchBed.NEEDS, 200, "", "", 0), 3_000, Optional.empty()));
		assertThat(bed.verdict(caller)).isEqualTo(BatchVerdict.NO_ROUTE);
	}

	@Example
	void neverGoesBackToAnOlderConfiguration() {
		DispatchBed bed = DispatchBed.with("g1");
		assertThat(bed.node.tables(DispatchBed.tables(5, "/new/"))).isTrue();
		assertThat(bed.node.tables(DispatchBed.tables(4, "/q/"))).isFalse();
		assertThat(bed.verdict(bed.submit("b1", 1))).isEqualTo(BatchVerdict.NO_ROUTE);
	}

	@Example
	void refusesAtOnceWhatNoEndpointCanHold() {
		DispatchBed bed = DispatchBed.with("g1");
		CallerRef caller = bed.submit("b1", new TaskGroup(1, new Amounts(20_000, 1, 0), 200, "", "", 0));
		assertThat(bed.verdict(caller)).isEqualTo(BatchVerdict.UNAVAILABLE);
	}

	@Example
	void refusesABatchThatFoundNoRoomUntilItsLatestStart() {
		DispatchBed bed = DispatchBed.with("g1");
		bed.submit("b1", 2);
		CallerRef caller = bed.submit("b2", 1);
		bed.advance(50);
		assertThat(bed.verdict(caller)).isNull();
		bed.advance(200);
		assertThat(bed.verdict(caller)).isEqualTo(BatchVerdict.OVERLOADED);
		assertThat(bed.starts()).noneMatch((run) -> run.batch().value().equals("b2"));
		assertThat(bed.answers.get(caller).retryAfterMillis()).isPositive();
	}

	@Example
	void startsAWaitingBatchWhenRoomBecomesFree() {
		DispatchBed bed = DispatchBed.with("g1");
		bed.submit("b1", 2);
		bed.submit("b2", 1);
		RunId first = bed.starts("g1").get(0);
		bed.end("g1", first, RunOutcome.DONE);
		bed.load("g1", DispatchBed.CAPACITY, new Amounts(6_000, 900, 0), Set.of(), 2);
		assertThat(bed.starts()).hasSize(3);
	}

	@Example
	void doesNotCountRoomTwiceThatItsOwnOrdersWillTake() {
		DispatchBed bed = DispatchBed.with("g1");
		bed.submit("b1", 1);
		bed.load("g1", DispatchBed.CAPACITY, DispatchBed.CAPACITY, Set.of(), 0);
		bed.submit("b2", 2);
		assertThat(bed.starts()).hasSize(2);
	}

	@Example
	void startsAFailedTaskElsewhere() {
		DispatchBed bed = DispatchBed.with("g1", "g2");
		bed.submit("b1", 1);
		RunId run = bed.starts().get(0);
		String guard = bed.starts("g1").isEmpty() ? "g2" : "g1";
		bed.end(guard, run, RunOutcome.FAILED);
		assertThat(bed.starts()).hasSize(2);
		assertThat(bed.starts(guard)).hasSize(1);
	}

	@Example
	void failsABatchWhoseTaskHasFailedAsOftenAsItsRouteAllows() {
		DispatchBed bed = DispatchBed.with("g1", "g2");
		CallerRef caller = bed.submit("b1", 1);
		for (int attempt = 0; attempt < 2; attempt++) {
			RunId run = bed.starts().get(attempt);
			bed.end(bed.starts("g1").contains(run) ? "g1" : "g2", run, RunOutcome.FAILED);
		}
		assertThat(bed.verdict(caller)).isEqualTo(BatchVerdict.FAILED);
		assertThat(bed.starts()).hasSize(2);
	}

	@Example
	void numbersEachStartOfATaskHigher() {
		DispatchBed bed = DispatchBed.with("g1");
		bed.submit("b1", 1);
		bed.end("g1", bed.starts().get(0), RunOutcome.LAPSED);
		bed.advance(400);
		assertThat(bed.starts()).extracting(RunId::attempt).containsExactly(1, 2);
	}

	@Example
	void startsNoTaskOfALostGuardAgainBeforeItsRunHasCertainlyEnded() {
		DispatchBed bed = DispatchBed.with("g1");
		bed.submit("b1", 1);
		bed.node.guardLost(new GuardId("g1"), DispatchBed.INCARNATION, bed.now());
		bed.up("g2", DispatchBed.CAPACITY, Set.of());
		bed.advance(490);
		assertThat(bed.starts("g2")).isEmpty();
		bed.advance(20);
		assertThat(bed.starts("g2")).hasSize(1);
	}

	@Example
	void startsNoTaskElsewhereWhileItsGuardIsLinkedAgain() {
		DispatchBed bed = DispatchBed.with("g1");
		bed.submit("b1", 1);
		bed.node.guardLost(new GuardId("g1"), DispatchBed.INCARNATION, bed.now());
		bed.up("g1", DispatchBed.CAPACITY, Set.of());
		bed.up("g2", DispatchBed.CAPACITY, Set.of());
		bed.advance(700);
		assertThat(bed.starts()).hasSize(1);
	}

	@Example
	void waitsForTheEndOfASessionThatItHasConfirmedJustBeforeItLostTheGuard() {
		DispatchBed bed = DispatchBed.with("g1");
		bed.node.message(new GuardId("g1"), DispatchBed.INCARNATION, new SessionPing(1), bed.now());
		bed.submit("b1", 1);
		bed.node.guardLost(new GuardId("g1"), DispatchBed.INCARNATION, bed.now());
		bed.up("g2", DispatchBed.CAPACITY, Set.of());
		bed.advance(1_690);
		assertThat(bed.starts("g2")).isEmpty();
		bed.advance(20);
		assertThat(bed.starts("g2")).hasSize(1);
	}

	@Example
	void startsATaskAgainAtOnceWhenItsGuardConfirmsTheEnd() {
		DispatchBed bed = DispatchBed.with("g1");
		bed.submit("b1", 1);
		RunId run = bed.starts().get(0);
		bed.node.guardLost(new GuardId("g1"), DispatchBed.INCARNATION, bed.now());
		bed.up("g1", DispatchBed.CAPACITY, Set.of());
		assertThat(bed.sent).anyMatch((sent) -> sent.message().equals(new HeldRuns(List.of(run))));
		bed.end("g1", run, RunOutcome.NOT_STARTED);
		bed.advance(50);
		assertThat(bed.starts()).hasSize(2);
	}

	@Example
	void doesNotAskAGuardInALoopWhoseEndpointCannotBeReached() {
		DispatchBed bed = DispatchBed.with("g1");
		bed.submit("b1", 1);
		for (int count = 0; count < 20; count++) {
			bed.end("g1", bed.starts().get(bed.starts().size() - 1), RunOutcome.NOT_STARTED);
		}
		assertThat(bed.starts()).hasSize(1);
	}

	@Example
	void stopsTheTasksOfACallerThatLeft() {
		DispatchBed bed = DispatchBed.with("g1");
		CallerRef caller = bed.submit("b1", 2);
		bed.node.callerGone(caller, bed.now());
		assertThat(bed.stops()).containsExactlyElementsOf(bed.starts());
	}

	@Example
	void keepsABatchForItsOtherCaller() {
		DispatchBed bed = DispatchBed.with("g1");
		CallerRef first = bed.submit("b1", 1);
		CallerRef second = bed.submit("b1", 1);
		bed.node.callerGone(first, bed.now());
		assertThat(bed.stops()).isEmpty();
		assertThat(bed.starts()).hasSize(1);
		bed.end("g1", bed.starts().get(0), RunOutcome.DONE);
		assertThat(bed.verdict(second)).isEqualTo(BatchVerdict.COMPLETED);
	}

	@Example
	void runsABatchThatIsHandedInAgainOnlyWhenItsFormerRunsHaveEnded() {
		DispatchBed bed = DispatchBed.with("g1");
		CallerRef first = bed.submit("b1", 1);
		RunId run = bed.starts().get(0);
		bed.node.callerGone(first, bed.now());
		CallerRef second = bed.submit("b1", 1);
		assertThat(bed.starts()).hasSize(1);
		bed.end("g1", run, RunOutcome.STOPPED);
		assertThat(bed.starts()).hasSize(2);
		bed.end("g1", bed.starts().get(1), RunOutcome.DONE);
		assertThat(bed.verdict(second)).isEqualTo(BatchVerdict.COMPLETED);
	}

	@Example
	void givesAStartedBatchUpAsUnfinishedBeforeTheCallerStopsWaiting() {
		DispatchBed bed = DispatchBed.with("g1");
		CallerRef caller = bed.submit("b1", 1);
		bed.advance(2_990);
		assertThat(bed.verdict(caller)).isEqualTo(BatchVerdict.UNFINISHED);
		assertThat(bed.stops()).containsExactlyElementsOf(bed.starts());
	}

	@Example
	void waitsForTheFirstEndpointsAfterItsStart() {
		DispatchBed bed = new DispatchBed();
		bed.node.tables(DispatchBed.tables(1, "/q/"));
		CallerRef caller = bed.submit("b1", 1);
		bed.advance(300);
		assertThat(bed.verdict(caller)).isNull();
		bed.up("g1", DispatchBed.CAPACITY, Set.of());
		assertThat(bed.starts()).hasSize(1);
	}

	@Example
	void placesBatchesThatCanMeetTheirObjectiveBeforeLateOnes() {
		DispatchBed bed = new DispatchBed();
		bed.node.tables(DispatchBed.tables(1, "/q/"));
		bed.submit("late", 2);
		bed.advance(300);
		bed.submit("new", 2);
		bed.up("g1", DispatchBed.CAPACITY, Set.of());
		assertThat(bed.starts()).extracting((run) -> run.batch().value()).containsOnly("new");
	}

	@Example
	void placesATaskOnlyWhereItsLabelIs() {
		DispatchBed bed = DispatchBed.with("g1");
		bed.up("g2", DispatchBed.CAPACITY, Set.of("gpu"));
		bed.submit("b1", new TaskGroup(2, DispatchBed.NEEDS, 200, "gpu", "", 0));
		assertThat(bed.starts("g1")).isEmpty();
		assertThat(bed.starts("g2")).hasSize(2);
	}

	@Example
	void placesNoMoreTasksOnOneEndpointThanTheBatchAllows() {
		DispatchBed bed = DispatchBed.with("g1", "g2");
		bed.submit("b1", new TaskGroup(2, DispatchBed.NEEDS, 200, "", "", 1));
		assertThat(bed.starts("g1")).hasSize(1);
		assertThat(bed.starts("g2")).hasSize(1);
	}

	// The pattern: more work arrives than the pool can do, in a burst.
	@Example
	void refusesAtOnceWhatTheWorkBeforeItWillNotLetStartInTime() {
		DispatchBed bed = DispatchBed.with("g1");
		bed.submit("b1", 2);
		bed.advance(200);
		for (int count = 0; count < 2; count++) {
			bed.submit("w" + count, 2);
		}
		bed.end("g1", bed.starts().get(0), RunOutcome.DONE);
		bed.submit("w2", 2);
		CallerRef caller = bed.submit("w3", 2);
		assertThat(bed.verdict(caller)).isEqualTo(BatchVerdict.OVERLOADED);
		assertThat(bed.answers.get(caller).retryAfterMillis()).isGreaterThanOrEqualTo(1000);
	}

	@Example
	void keepsABatchThatWillStartInTime() {
		DispatchBed bed = DispatchBed.with("g1");
		bed.submit("b1", 2);
		bed.advance(200);
		bed.end("g1", bed.starts().get(0), RunOutcome.DONE);
		CallerRef caller = bed.submit("w1", 1);
		assertThat(bed.verdict(caller)).isNull();
	}

	@Example
	void prefersTheRackOfTheData() {
		DispatchBed bed = DispatchBed.with("g1");
		bed.up("g2", DispatchBed.CAPACITY, Set.of("r1"));
		bed.submit("b1", new TaskGroup(1, DispatchBed.NEEDS, 200, "", "r1", 0));
		assertThat(bed.starts("g2")).hasSize(1);
	}

	@Example
	void takesBatchesThatFitIntoTheTimeLeftWhenItShutsDown() {
		DispatchBed bed = DispatchBed.with("g1");
		bed.node.shutDown(5_300, bed.now());
		bed.advance(4_000);
		CallerRef early = bed.submit("b1", 1);
		assertThat(bed.verdict(early)).isNull();
		bed.advance(1_000);
		CallerRef late = bed.submit("b2", 1);
		assertThat(bed.verdict(late)).isEqualTo(BatchVerdict.UNAVAILABLE);
		assertThat(bed.starts()).hasSize(1);
		assertThat(bed.node.endIfIdle(bed.now())).isFalse();
		bed.end("g1", bed.starts().get(0), RunOutcome.DONE);
		assertThat(bed.verdict(early)).isEqualTo(BatchVerdict.COMPLETED);
		assertThat(bed.node.endIfIdle(bed.now())).isTrue();
	}

	@Example
	void takesNoBatchOnceItHasFoundItselfIdle() {
		DispatchBed bed = DispatchBed.with("g1");
		bed.node.shutDown(5_300, bed.now());
		bed.advance(3_000);
		assertThat(bed.node.endIfIdle(bed.now())).isTrue();
		assertThat(bed.verdict(bed.submit("b1", 1))).isEqualTo(BatchVerdict.UNAVAILABLE);
		assertThat(bed.starts()).isEmpty();
	}

	@Example
	void answersWhatIsInHandWhenTheTimeToShutDownHasEnded() {
		DispatchBed bed = DispatchBed.with("g1");
		CallerRef running = bed.submit("b1", 2);
		CallerRef waiting = bed.submit("b2", 1);
		bed.node.shutDown(100, bed.now());
		bed.node.giveUp(bed.now());
		assertThat(bed.verdict(running)).isEqualTo(BatchVerdict.UNFINISHED);
		assertThat(bed.verdict(waiting)).isEqualTo(BatchVerdict.UNAVAILABLE);
		assertThat(bed.stops()).hasSize(2);
	}

}
