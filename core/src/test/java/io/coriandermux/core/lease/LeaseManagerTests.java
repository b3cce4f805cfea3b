package io.coriandermux.core.lease;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.message.HeldRuns;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two concurrent runs of a task and against runs that no entry requested,
 * while orders are lost or delayed and processes and endpoints restart.
 */
class LeaseManagerTests {

	private static final RunId RUN = LeaseManagerHarness.run("b1", 1);

	private static final RunId OTHER_RUN = LeaseManagerHarness.run("b2", 1);

	@Example
	void reportsTheEndOfARunThatTheEndpointLists() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.startRunning(RUN);
		harness.answerPoll(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.DONE)));
		assertThat(harness.outcomes(RUN)).containsExactly(RunOutcome.DONE);
		assertThat(harness.lastLoad().orElseThrow().load().free()).isEqualTo(LeaseManagerHarness.CAPACITY);
	}

	@Example
	void acknowledgesEachEndInTheNextPoll() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.startRunning(RUN);
		harness.answerPoll(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.DONE)));
		assertThat(harness.polls.get(harness.polls.size() - 1).highestReceivedEnd()).isEqualTo(1);
	}

	@Example
	void refusesARunThatExceedsTheFreeCapacity() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.startRunning(RUN);
		harness.startRunning(OTHER_RUN);
		RunId third = LeaseManagerHarness.run("b3", 1);
		harness.requestStart(third);
		assertThat(harness.starts).containsExactly(RUN, OTHER_RUN);
		assertThat(harness.outcomes(third)).containsExactly(RunOutcome.NO_ROOM);
	}

	@Example
	void keepsTheResourcesOfARunWhoseStartIsUnconfirmed() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.requestStart(RUN);
		harness.answerStart(RUN, OrderResult.UNANSWERED);
		assertThat(harness.outcomes(RUN)).isEmpty();
		assertThat(harness.leaseManager.isIdle()).isFalse();
	}

	@Example
	void reportsAnUnconfirmedStartAtADrainingEndpointOnlyAfterAConfirmedStop() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.requestStart(RUN);
		harness.sendHeartbeat(LeaseManagerHarness.ENDPOINT_INCARNATION, true);
		harness.answerStart(RUN, OrderResult.UNANSWERED);
		harness.answerPoll(List.of(), List.of());
		assertThat(harness.stops).containsExactly(RUN);
		assertThat(harness.outcomes(RUN)).isEmpty();
		harness.leaseManager.onStopAnswered(RUN, OrderResult.ACCEPTED, OptionalLong.of(0), harness.now());
		assertThat(harness.outcomes(RUN)).isEmpty();
		harness.answerPoll(List.of(), List.of());
		assertThat(harness.outcomes(RUN)).containsExactly(RunOutcome.NOT_STARTED);
	}

	@Example
	void continuesARunWithUnconfirmedStartThatTheEndpointLists() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.requestStart(RUN);
		harness.answerStart(RUN, OrderResult.UNANSWERED);
		harness.answerPoll(List.of(new ActiveRun(RUN, 10)), List.of());
		assertThat(harness.stops).isEmpty();
		harness.answerPoll(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.DONE)));
		assertThat(harness.outcomes(RUN)).containsExactly(RunOutcome.DONE);
	}

	@Example
	void repeatsAStopThatIsNotAnswered() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.startRunning(RUN);
		harness.requestStop(RUN);
		harness.advance(400);
		assertThat(harness.stops.size()).isGreaterThan(1);
	}

	@Example
	void stopsARunThatStartsAfterItWasAbandoned() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.startRunning(OTHER_RUN);
		harness.answerPoll(List.of(new ActiveRun(OTHER_RUN, 1), new ActiveRun(RUN, 1)), List.of());
		assertThat(harness.stops).containsExactly(RUN);
	}

	// Guards against a lease that is not renewed, so that all runs lapse, because an
	// answer that was overtaken by a newer one lists a run that has ended since.
	@Example
	void renewsTheLeaseAfterAnOvertakenAnswerListsARunThatHasEnded() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.startRunning(RUN);
		Poll older = harness.polls.get(harness.polls.size() - 1);
		harness.requestStart(OTHER_RUN);
		harness.answerStart(OTHER_RUN, OrderResult.UNANSWERED);
		harness.answerPoll(List.of(new ActiveRun(OTHER_RUN, 1)), List.of(new EndedRun(1, RUN, RunOutcome.DONE)));
		harness.answerPoll(older, List.of(new ActiveRun(RUN, 50), new ActiveRun(OTHER_RUN, 1)), List.of());
		assertThat(harness.notices(NoticeKind.ORPHAN_STOPPED)).isEmpty();
		assertThat(harness.stops).isEmpty();
		harness.advance(100);
		harness.requestStart(LeaseManagerHarness.run("b3", 1));
		OptionalLong lease = harness.leases.get(harness.leases.size() - 1).expiresAtMillis();
		assertThat(lease.orElseThrow()).isGreaterThan(harness.endpointClockMillis() + 700);
	}

	// Guards against a run that changes its owner: the first entry would have the run
	// stopped or restarted that the second one counts on.
	@Example
	void keepsARunForItsEntryAndRefusesItToAnyOther() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.startRunning(RUN);
		harness.requestStartFromSecondEntry(RUN);
		assertThat(harness.outcomesOfSecondEntry(RUN)).containsExactly(RunOutcome.CLAIMED);
		harness.answerPoll(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.DONE)));
		assertThat(harness.starts).containsExactly(RUN);
		assertThat(harness.outcomesOfSecondEntry(RUN)).containsExactly(RunOutcome.CLAIMED);
		// The first entry keeps its record of the batch until the end is reported to it.
		assertThat(harness.outcomes(RUN)).containsExactly(RunOutcome.DONE);
	}

	@Example
	void stopsTheRunsOfAnEntryThatDoesNotConfirmItsSession() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.startRunning(RUN);
		harness.entryConfirmsPings = false;
		for (int percent = 1; percent <= 8; percent++) {
			harness.advance(100);
			harness.answerPoll(List.of(new ActiveRun(RUN, percent)), List.of());
		}
		harness.advance(90);
		assertThat(harness.stops).isEmpty();
		harness.advance(30);
		assertThat(harness.stops).containsExactly(RUN);
	}

	@Example
	void startsNothingForAnEntryWhoseSessionHasExpired() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.entryConfirmsPings = false;
		harness.advance(1000);
		harness.requestStart(RUN);
		assertThat(harness.starts).isEmpty();
		assertThat(harness.outcomes(RUN)).containsExactly(RunOutcome.NOT_STARTED);
	}

	@Example
	void startsNothingAfterASuspensionUntilTheSessionIsConfirmed() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.entryConfirmsPings = false;
		harness.advance(10);
		harness.suspend(5000);
		long pings = harness.pingCount();
		harness.leaseManager.tick(harness.now());
		assertThat(harness.pingCount()).isGreaterThan(pings);
		harness.advance(300);
		harness.requestStart(RUN);
		assertThat(harness.starts).isEmpty();
	}

	@Example
	void stopsTheRunsOfALostEntry() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.startRunning(RUN);
		harness.leaseManager.onEntryLost(LeaseManagerHarness.ENTRY, LeaseManagerHarness.ENTRY_INCARNATION,
				harness.now());
		assertThat(harness.stops).containsExactly(RUN);
	}

	@Example
	void stopsTheRunsOfARestartedEntry() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.startRunning(RUN);
		harness.leaseManager.onEntryConnected(LeaseManagerHarness.ENTRY, new Incarnation(2), harness.now());
		assertThat(harness.stops).containsExactly(RUN);
	}

	@Example
	void reportsEndedRunsToAnEntryThatReconnects() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.startRunning(RUN);
		harness.startRunning(OTHER_RUN);
		harness.answerPoll(List.of(new ActiveRun(OTHER_RUN, 1)), List.of(new EndedRun(1, RUN, RunOutcome.DONE)));
		harness.messages.clear();
		RunId unknownRun = LeaseManagerHarness.run("b3", 1);
		harness.leaseManager.onMessage(LeaseManagerHarness.ENTRY, LeaseManagerHarness.ENTRY_INCARNATION,
				new HeldRuns(List.of(RUN, unknownRun)), harness.now());
		assertThat(harness.outcomes(RUN)).containsExactly(RunOutcome.DONE);
		assertThat(harness.outcomes(unknownRun)).containsExactly(RunOutcome.NOT_STARTED);
		assertThat(harness.stops).containsExactly(OTHER_RUN);
	}

	// Guards against two runs of a task: the entry starts it elsewhere after the report,
	// and the order that it had sent before arrives late.
	@Example
	void startsNoRunThatItHasReportedAsNotStarted() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.requestStop(RUN);
		assertThat(harness.outcomes(RUN)).containsExactly(RunOutcome.NOT_STARTED);
		harness.requestStart(RUN);
		assertThat(harness.starts).isEmpty();
		assertThat(harness.outcomes(RUN)).containsExactly(RunOutcome.NOT_STARTED, RunOutcome.NOT_STARTED);
	}

	@Example
	void startsNothingUntilTheRunsOfThePreviousGuardHaveEnded() {
		LeaseManagerHarness harness = new LeaseManagerHarness();
		harness.connect(LeaseManagerHarness.ENTRY);
		harness.sendHeartbeat(LeaseManagerHarness.ENDPOINT_INCARNATION, false);
		harness.answerPoll(List.of(new ActiveRun(OTHER_RUN, 50)), List.of());
		harness.requestStart(RUN);
		assertThat(harness.stops).containsExactly(OTHER_RUN);
		assertThat(harness.starts).isEmpty();
		assertThat(harness.lastLoad().map((changed) -> changed.load().accepting())).contains(false);
	}

	@Example
	void defersTheReportOnARunOfThePreviousGuardUntilItHasEnded() {
		LeaseManagerHarness harness = new LeaseManagerHarness();
		harness.connect(LeaseManagerHarness.ENTRY);
		harness.sendHeartbeat(LeaseManagerHarness.ENDPOINT_INCARNATION, false);
		harness.leaseManager.onMessage(LeaseManagerHarness.ENTRY, LeaseManagerHarness.ENTRY_INCARNATION,
				new HeldRuns(List.of(OTHER_RUN)), harness.now());
		harness.answerPoll(List.of(new ActiveRun(OTHER_RUN, 50)), List.of());
		assertThat(harness.outcomes(OTHER_RUN)).isEmpty();
		harness.advance(100);
		harness.answerPoll(List.of(), List.of(new EndedRun(1, OTHER_RUN, RunOutcome.STOPPED)));
		assertThat(harness.outcomes(OTHER_RUN)).containsExactly(RunOutcome.NOT_STARTED);
	}

	@Example
	void endsTheRunsOfASilentEndpointOnlyWhenItsLeaseHasExpired() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.startRunning(RUN);
		harness.advance(700);
		assertThat(harness.outcomes(RUN)).isEmpty();
		harness.advance(1000);
		assertThat(harness.outcomes(RUN)).containsExactly(RunOutcome.LAPSED);
	}

	@Example
	void doesNotRenewTheLeaseOfASilentEndpoint() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.startRunning(RUN);
		harness.advance(600);
		harness.leases.clear();
		harness.advance(300);
		assertThat(harness.leases).isNotEmpty().allMatch((lease) -> lease.expiresAtMillis().isEmpty());
	}

	@Example
	void reportsTheRunsOfThePreviousEndpointIncarnationAsLost() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.startRunning(RUN);
		harness.answerPoll(List.of(new ActiveRun(RUN, 1)), List.of());
		harness.startRunning(OTHER_RUN);
		harness.sendHeartbeat(new EndpointIncarnation("i-1", 2000), false);
		assertThat(harness.outcomes(RUN)).isEmpty();
		harness.answerPoll(2000, List.of(), List.of());
		assertThat(harness.outcomes(RUN)).containsExactly(RunOutcome.ENDPOINT_LOST);
		// No poll has listed this run, so the new incarnation may have started it.
		assertThat(harness.outcomes(OTHER_RUN)).isEmpty();
		harness.advance(20);
		assertThat(harness.stops).containsExactly(OTHER_RUN);
	}

	@Example
	void ignoresADelayedHeartbeatOfThePreviousEndpointIncarnation() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.sendHeartbeat(new EndpointIncarnation("i-1", 2000), false);
		harness.answerPoll(2000, List.of(), List.of());
		harness.sendHeartbeat(LeaseManagerHarness.ENDPOINT_INCARNATION, false);
		assertThat(harness.leaseManager.status().endpoint()).isEqualTo("i-1@2000");
	}

	@Example
	void startsNothingAtANewEndpointIncarnationThatHasNotReported() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.startRunning(OTHER_RUN);
		harness.answerPoll(List.of(new ActiveRun(OTHER_RUN, 1)), List.of());
		harness.answerPoll(2000, List.of(), List.of());
		harness.answerPoll(2000, List.of(), List.of());
		harness.requestStart(RUN);
		assertThat(harness.starts).containsExactly(OTHER_RUN);
		assertThat(harness.outcomes(OTHER_RUN)).containsExactly(RunOutcome.ENDPOINT_LOST);
	}

	@Example
	void stopsAStartThatMayHaveReachedANewEndpointIncarnationBeforeItReports() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.requestStart(RUN);
		harness.answerPoll(2000, List.of(), List.of());
		harness.answerPoll(2000, List.of(), List.of());
		harness.advance(20);
		harness.leaseManager.onStopAnswered(RUN, OrderResult.ACCEPTED, OptionalLong.of(0), harness.now());
		harness.answerPoll(2000, List.of(), List.of());
		assertThat(harness.outcomes(RUN)).containsExactly(RunOutcome.NOT_STARTED);
	}

	// Guards against a crashed endpoint that attracts all new tasks because its whole
	// capacity is free.
	@Example
	void acceptsNoRunsWhileTheEndpointIsUnreachable() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.requestStart(RUN);
		harness.answerStart(RUN, OrderResult.NOT_SENT);
		assertThat(harness.lastLoad().orElseThrow().load().accepting()).isFalse();
		harness.requestStart(OTHER_RUN);
		assertThat(harness.starts).containsExactly(RUN);
		int polls = harness.polls.size();
		harness.advance(200);
		assertThat(harness.polls.size()).isGreaterThan(polls);
		harness.answerPoll(List.of(), List.of());
		assertThat(harness.lastLoad().orElseThrow().load().accepting()).isTrue();
	}

	@Example
	void startsNothingAtADrainingEndpoint() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.sendHeartbeat(LeaseManagerHarness.ENDPOINT_INCARNATION, true);
		harness.requestStart(RUN);
		assertThat(harness.starts).isEmpty();
		assertThat(harness.outcomes(RUN)).containsExactly(RunOutcome.NOT_STARTED);
	}

	@Example
	void raisesTheTokenIfTheEndpointRefusesIt() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.requestStart(RUN);
		harness.answerStart(RUN, OrderResult.FENCED);
		assertThat(harness.leaseManager.status().token()).isGreaterThan(7);
		assertThat(harness.outcomes(RUN)).containsExactly(RunOutcome.NOT_STARTED);
	}

	@Example
	void stopsARunWithoutProgress() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.startRunning(RUN);
		for (int poll = 0; poll < 8; poll++) {
			harness.answerPoll(List.of(new ActiveRun(RUN, 3)), List.of());
			harness.advance(100);
		}
		assertThat(harness.stops).isNotEmpty().allMatch(RUN::equals);
		harness.answerPoll(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.STOPPED)));
		assertThat(harness.outcomes(RUN)).containsExactly(RunOutcome.STALLED);
	}

	@Example
	void usesARestoredReportOnlyAfterThatIncarnationAnswered() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		EndpointReport stored = harness.leaseManager.lastReport().orElseThrow();
		LeaseManagerHarness successor = new LeaseManagerHarness();
		successor.connect(LeaseManagerHarness.ENTRY);
		successor.leaseManager.restoreReport(stored, successor.now());
		successor.requestStart(RUN);
		assertThat(successor.starts).isEmpty();
		successor.answerPoll(List.of(), List.of());
		successor.requestStart(OTHER_RUN);
		assertThat(successor.starts).containsExactly(OTHER_RUN);
	}

	// Guards against an entry that counts a run as not started for all its life, and
	// waits for the next guard when this one is lost, and against one that counts a run
	// as started whose order may still be carried out.
	@Example
	void accountsForAnOrderInALoadOnlyOnceTheRunHasStarted() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.advance(200);
		harness.requestStart(RUN);
		harness.advance(100);
		assertThat(harness.lastLoad().orElseThrow().order()).isZero();
		harness.answerStart(RUN, OrderResult.ACCEPTED);
		harness.advance(100);
		assertThat(harness.lastLoad().orElseThrow().order()).isEqualTo(1);
	}

	@Example
	void accountsForAnUnansweredOrderInALoadOnceAPollListsTheRun() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.advance(200);
		harness.requestStart(RUN);
		harness.advance(30);
		harness.answerStart(RUN, OrderResult.UNANSWERED);
		harness.advance(100);
		assertThat(harness.lastLoad().orElseThrow().order()).isZero();
		harness.answerPoll(List.of(new ActiveRun(RUN, 1)), List.of());
		harness.advance(100);
		assertThat(harness.lastLoad().orElseThrow().order()).isEqualTo(1);
	}

	// Guards against late orders of the previous guard that the endpoint carries out
	// until it reports.
	@Example
	void pollsWithItsTokenBeforeTheEndpointHasReported() {
		LeaseManagerHarness harness = new LeaseManagerHarness();
		harness.advance(10);
		assertThat(harness.polls).hasSize(1);
		assertThat(harness.leases).containsExactly(new LeaseTerms("", 7, OptionalLong.empty()));
		harness.leaseManager.onPollAnswered(harness.polls.get(0), OrderResult.FENCED, Optional.empty(), harness.now());
		harness.advance(250);
		assertThat(harness.polls).hasSize(2);
		assertThat(harness.leases.get(1).token()).isEqualTo(60_007);
		harness.answerPoll(List.of(), List.of());
		assertThat(harness.leaseManager.status().settled()).isFalse();
	}

	@Example
	void discardsARestoredReportOfAnEndedIncarnation() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		EndpointReport stored = harness.leaseManager.lastReport().orElseThrow();
		LeaseManagerHarness successor = new LeaseManagerHarness();
		successor.leaseManager.restoreReport(stored, successor.now());
		successor.leaseManager.onPollAnswered(successor.polls.get(0), OrderResult.OTHER_LIFE, Optional.empty(),
				successor.now());
		assertThat(successor.leaseManager.lastReport()).isEmpty();
	}

	// Guards against a lease that is computed from an old reading of the endpoint's
	// clock.
	@Example
	void pollsAnIdleEndpointToReadItsClockAgain() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		int polls = harness.polls.size();
		harness.advance(1_900);
		assertThat(harness.polls).hasSize(polls);
		harness.advance(200);
		assertThat(harness.polls).hasSize(polls + 1);
	}

	// Guards against a lease that lasts longer than counted because it was computed
	// from the clock of an ended incarnation.
	@Example
	void ignoresTheClockInALateAnswerOfAFormerIncarnation() {
		LeaseManagerHarness harness = LeaseManagerHarness.settled();
		harness.requestStart(OTHER_RUN);
		harness.sendHeartbeat(new EndpointIncarnation("i-1", 2000), false);
		harness.answerPoll(2000, List.of(), List.of());
		harness.answerPoll(2000, List.of(), List.of(new EndedRun(1, OTHER_RUN, RunOutcome.STOPPED)));
		harness.leaseManager.onStartAnswered(OTHER_RUN, OrderResult.ACCEPTED,
				OptionalLong.of(harness.endpointClockMillis() + 3_600_000), harness.now());
		harness.leases.clear();
		harness.requestStart(RUN);
		assertThat(harness.leases).hasSize(1)
			.allMatch((lease) -> lease.expiresAtMillis().getAsLong() <= harness.endpointClockMillis() + 800);
	}

}
