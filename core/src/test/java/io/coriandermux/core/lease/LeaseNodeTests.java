package io.coriandermux.core.lease;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.message.HeldRuns;
import io.coriandermux.core.message.RunEnded;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two runs of a task at the same time, and against a run that nobody asked
 * for, while orders are lost or late and processes and endpoints come and go.
 */
class LeaseNodeTests {

	private static final RunId RUN = LeaseBed.run("b1", 1);

	private static final RunId OTHER = LeaseBed.run("b2", 1);

	@Example
	void reportsTheEndOfARunThatTheEndpointLists() {
		LeaseBed bed = LeaseBed.settled();
		bed.running(RUN);
		bed.answerLook(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.DONE)));
		assertThat(bed.outcomes(RUN)).containsExactly(RunOutcome.DONE);
		assertThat(bed.lastLoad().orElseThrow().load().free()).isEqualTo(LeaseBed.CAPACITY);
	}

	@Example
	void takesNoteOfEachEndInTheNextLook() {
		LeaseBed bed = LeaseBed.settled();
		bed.running(RUN);
		bed.answerLook(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.DONE)));
		assertThat(bed.polls.get(bed.polls.size() - 1).seen()).isEqualTo(1);
	}

	@Example
	void refusesARunForWhichThereIsNoRoom() {
		LeaseBed bed = LeaseBed.settled();
		bed.running(RUN);
		bed.running(OTHER);
		RunId third = LeaseBed.run("b3", 1);
		bed.ask(third);
		assertThat(bed.starts).containsExactly(RUN, OTHER);
		assertThat(bed.outcomes(third)).containsExactly(RunOutcome.NO_ROOM);
	}

	@Example
	void keepsTheRoomOfARunWhoseStartIsUnknown() {
		LeaseBed bed = LeaseBed.settled();
		bed.ask(RUN);
		bed.answerStart(RUN, OrderResult.UNANSWERED);
		assertThat(bed.outcomes(RUN)).isEmpty();
		assertThat(bed.node.isIdle()).isFalse();
	}

	@Example
	void reportsAnUnknownStartAsNotStartedOnlyAfterAConfirmedStop() {
		LeaseBed bed = LeaseBed.settled();
		bed.ask(RUN);
		bed.answerStart(RUN, OrderResult.UNANSWERED);
		bed.answerLook(List.of(), List.of());
		assertThat(bed.stops).containsExactly(RUN);
		assertThat(bed.outcomes(RUN)).isEmpty();
		bed.node.stopAnswered(RUN, OrderResult.ACCEPTED, OptionalLong.of(0), bed.now());
		assertThat(bed.outcomes(RUN)).isEmpty();
		bed.answerLook(List.of(), List.of());
		assertThat(bed.outcomes(RUN)).containsExactly(RunOutcome.NOT_STARTED);
	}

	@Example
	void goesOnWithAnUnknownStartThatTheEndpointShows() {
		LeaseBed bed = LeaseBed.settled();
		bed.ask(RUN);
		bed.answerStart(RUN, OrderResult.UNANSWERED);
		bed.answerLook(List.of(new ActiveRun(RUN, 10)), List.of());
		assertThat(bed.stops).isEmpty();
		bed.answerLook(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.DONE)));
		assertThat(bed.outcomes(RUN)).containsExactly(RunOutcome.DONE);
	}

	@Example
	void repeatsAStopThatIsNotAnswered() {
		LeaseBed bed = LeaseBed.settled();
		bed.running(RUN);
		bed.askStop(RUN);
		bed.advance(400);
		assertThat(bed.stops.size()).isGreaterThan(1);
	}

	@Example
	void stopsARunThatStartsAfterItWasGivenUp() {
		LeaseBed bed = LeaseBed.settled();
		bed.running(OTHER);
		bed.answerLook(List.of(new ActiveRun(OTHER, 1), new ActiveRun(RUN, 1)), List.of());
		assertThat(bed.stops).containsExactly(RUN);
	}

	@Example
	void tellsTheEntryThatAsksForARunAgainHowItEnds() {
		LeaseBed bed = LeaseBed.settled();
		bed.running(RUN);
		bed.askFromSecondEntry(RUN);
		bed.answerLook(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.DONE)));
		assertThat(bed.starts).containsExactly(RUN);
		assertThat(bed.toSecondEntry)
			.anyMatch((message) -> message instanceof RunEnded ended && ended.run().equals(RUN));
		// The first entry keeps its record of the batch until it hears of the end.
		assertThat(bed.outcomes(RUN)).containsExactly(RunOutcome.DONE);
	}

	@Example
	void stopsTheRunsOfAnEntryThatDoesNotConfirmItsSession() {
		LeaseBed bed = LeaseBed.settled();
		bed.running(RUN);
		bed.entryAnswers = false;
		for (int percent = 1; percent <= 8; percent++) {
			bed.advance(100);
			bed.answerLook(List.of(new ActiveRun(RUN, percent)), List.of());
		}
		bed.advance(90);
		assertThat(bed.stops).isEmpty();
		bed.advance(30);
		assertThat(bed.stops).containsExactly(RUN);
	}

	@Example
	void startsNothingForAnEntryWhoseSessionHasExpired() {
		LeaseBed bed = LeaseBed.settled();
		bed.entryAnswers = false;
		bed.advance(1000);
		bed.ask(RUN);
		assertThat(bed.starts).isEmpty();
		assertThat(bed.outcomes(RUN)).containsExactly(RunOutcome.NOT_STARTED);
	}

	@Example
	void startsNothingBeforeAConfirmationAfterASuspension() {
		LeaseBed bed = LeaseBed.settled();
		bed.entryAnswers = false;
		bed.advance(10);
		bed.suspend(5000);
		long pings = bed.pings();
		bed.node.tick(bed.now());
		assertThat(bed.pings()).isGreaterThan(pings);
		bed.advance(300);
		bed.ask(RUN);
		assertThat(bed.starts).isEmpty();
	}

	@Example
	void stopsTheRunsOfAnEntryThatIsGone() {
		LeaseBed bed = LeaseBed.settled();
		bed.running(RUN);
		bed.node.entryLost(LeaseBed.ENTRY, LeaseBed.INCARNATION, bed.now());
		assertThat(bed.stops).containsExactly(RUN);
	}

	@Example
	void stopsTheRunsOfAnEntryThatHasRestarted() {
		LeaseBed bed = LeaseBed.settled();
		bed.running(RUN);
		bed.node.entryUp(LeaseBed.ENTRY, new Incarnation(2), bed.now());
		assertThat(bed.stops).containsExactly(RUN);
	}

	@Example
	void tellsAnEntryOnANewConnectionWhatHasEnded() {
		LeaseBed bed = LeaseBed.settled();
		bed.running(RUN);
		bed.running(OTHER);
		bed.answerLook(List.of(new ActiveRun(OTHER, 1)), List.of(new EndedRun(1, RUN, RunOutcome.DONE)));
		bed.messages.clear();
		RunId lost = LeaseBed.run("b3", 1);
		bed.node.message(LeaseBed.ENTRY, LeaseBed.INCARNATION, new HeldRuns(List.of(RUN, lost)), bed.now());
		assertThat(bed.outcomes(RUN)).containsExactly(RunOutcome.DONE);
		assertThat(bed.outcomes(lost)).containsExactly(RunOutcome.NOT_STARTED);
		assertThat(bed.stops).containsExactly(OTHER);
	}

	@Example
	void startsNothingUntilTheRunsOfAFormerGuardHaveEnded() {
		LeaseBed bed = new LeaseBed();
		bed.node.entryUp(LeaseBed.ENTRY, LeaseBed.INCARNATION, bed.now());
		bed.report(LeaseBed.LIFE, false);
		bed.answerLook(List.of(new ActiveRun(OTHER, 50)), List.of());
		bed.ask(RUN);
		assertThat(bed.stops).containsExactly(OTHER);
		assertThat(bed.starts).isEmpty();
		assertThat(bed.lastLoad().map((changed) -> changed.load().accepting())).contains(false);
	}

	@Example
	void reportsNoEndOfAFormerGuardsRunBeforeThatRunHasEnded() {
		LeaseBed bed = new LeaseBed();
		bed.node.entryUp(LeaseBed.ENTRY, LeaseBed.INCARNATION, bed.now());
		bed.report(LeaseBed.LIFE, false);
		bed.node.message(LeaseBed.ENTRY, LeaseBed.INCARNATION, new HeldRuns(List.of(OTHER)), bed.now());
		bed.answerLook(List.of(new ActiveRun(OTHER, 50)), List.of());
		assertThat(bed.outcomes(OTHER)).isEmpty();
		bed.advance(100);
		bed.answerLook(List.of(), List.of(new EndedRun(1, OTHER, RunOutcome.STOPPED)));
		assertThat(bed.outcomes(OTHER)).containsExactly(RunOutcome.NOT_STARTED);
	}

	@Example
	void givesUpTheRunsOfASilentEndpointOnlyWhenItsLeaseHasLapsed() {
		LeaseBed bed = LeaseBed.settled();
		bed.running(RUN);
		bed.advance(700);
		assertThat(bed.outcomes(RUN)).isEmpty();
		bed.advance(1000);
		assertThat(bed.outcomes(RUN)).containsExactly(RunOutcome.LAPSED);
	}

	@Example
	void doesNotRenewTheLeaseOfASilentEndpoint() {
		LeaseBed bed = LeaseBed.settled();
		bed.running(RUN);
		bed.advance(600);
		bed.terms.clear();
		bed.advance(300);
		assertThat(bed.terms).isNotEmpty().allMatch((terms) -> terms.untilMillis().isEmpty());
	}

	@Example
	void reportsTheRunsOfAFormerLifeAsLost() {
		LeaseBed bed = LeaseBed.settled();
		bed.running(RUN);
		bed.report(new EndpointLife("i-1", 2000), false);
		assertThat(bed.outcomes(RUN)).containsExactly(RunOutcome.ENDPOINT_LOST);
	}

	@Example
	void ignoresALateHeartbeatOfAFormerLife() {
		LeaseBed bed = LeaseBed.settled();
		bed.report(new EndpointLife("i-1", 2000), false);
		bed.report(LeaseBed.LIFE, false);
		assertThat(bed.node.status().endpoint()).isEqualTo("i-1@2000");
	}

	@Example
	void startsNothingAtANewLifeThatHasNotReported() {
		LeaseBed bed = LeaseBed.settled();
		bed.running(OTHER);
		bed.answerLook(2000, List.of(), List.of());
		bed.answerLook(2000, List.of(), List.of());
		bed.ask(RUN);
		assertThat(bed.starts).containsExactly(OTHER);
		assertThat(bed.outcomes(OTHER)).containsExactly(RunOutcome.ENDPOINT_LOST);
	}

	@Example
	void settlesAnOrderThatMayHaveReachedANewLifeBeforeThatLifeReports() {
		LeaseBed bed = LeaseBed.settled();
		bed.ask(RUN);
		bed.answerLook(2000, List.of(), List.of());
		bed.answerLook(2000, List.of(), List.of());
		bed.advance(20);
		bed.node.stopAnswered(RUN, OrderResult.ACCEPTED, OptionalLong.of(0), bed.now());
		bed.answerLook(2000, List.of(), List.of());
		assertThat(bed.outcomes(RUN)).containsExactly(RunOutcome.NOT_STARTED);
	}

	// The pattern: an endpoint crashes, and its empty VM attracts all new tasks.
	@Example
	void offersNoEndpointThatCannotBeReachedUntilItAnswers() {
		LeaseBed bed = LeaseBed.settled();
		bed.ask(RUN);
		bed.answerStart(RUN, OrderResult.NOT_SENT);
		assertThat(bed.lastLoad().orElseThrow().load().accepting()).isFalse();
		bed.ask(OTHER);
		assertThat(bed.starts).containsExactly(RUN);
		int polls = bed.polls.size();
		bed.advance(200);
		assertThat(bed.polls.size()).isGreaterThan(polls);
		bed.answerLook(List.of(), List.of());
		assertThat(bed.lastLoad().orElseThrow().load().accepting()).isTrue();
	}

	@Example
	void startsNothingAtAnEndpointThatDrains() {
		LeaseBed bed = LeaseBed.settled();
		bed.report(LeaseBed.LIFE, true);
		bed.ask(RUN);
		assertThat(bed.starts).isEmpty();
		assertThat(bed.outcomes(RUN)).containsExactly(RunOutcome.NOT_STARTED);
	}

	@Example
	void raisesATokenThatTheEndpointRefuses() {
		LeaseBed bed = LeaseBed.settled();
		bed.ask(RUN);
		bed.answerStart(RUN, OrderResult.FENCED);
		assertThat(bed.node.status().token()).isGreaterThan(7);
		assertThat(bed.outcomes(RUN)).containsExactly(RunOutcome.NOT_STARTED);
	}

	@Example
	void stopsARunWithoutProgress() {
		LeaseBed bed = LeaseBed.settled();
		bed.running(RUN);
		for (int poll = 0; poll < 8; poll++) {
			bed.answerLook(List.of(new ActiveRun(RUN, 3)), List.of());
			bed.advance(100);
		}
		assertThat(bed.stops).isNotEmpty().allMatch(RUN::equals);
		bed.answerLook(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.STOPPED)));
		assertThat(bed.outcomes(RUN)).containsExactly(RunOutcome.STALLED);
	}

	@Example
	void usesARememberedLifeOnlyAfterItAnswered() {
		LeaseBed bed = LeaseBed.settled();
		EndpointReport former = bed.node.report().orElseThrow();
		LeaseBed successor = new LeaseBed();
		successor.node.entryUp(LeaseBed.ENTRY, LeaseBed.INCARNATION, successor.now());
		successor.node.remembered(former, successor.now());
		successor.ask(RUN);
		assertThat(successor.starts).isEmpty();
		successor.answerLook(List.of(), List.of());
		successor.ask(OTHER);
		assertThat(successor.starts).containsExactly(OTHER);
	}

	@Example
	void forgetsARememberedLifeThatIsOver() {
		LeaseBed bed = LeaseBed.settled();
		EndpointReport former = bed.node.report().orElseThrow();
		LeaseBed successor = new LeaseBed();
		successor.node.remembered(former, successor.now());
		successor.node.pollAnswered(successor.polls.get(0), OrderResult.OTHER_LIFE, Optional.empty(), successor.now());
		assertThat(successor.node.report()).isEmpty();
	}

}
