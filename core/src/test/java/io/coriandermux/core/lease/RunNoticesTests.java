package io.coriandermux.core.lease;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.coriandermux.core.message.ClaimBatch;
import io.coriandermux.core.message.HeldRuns;
import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a task that ran twice without a record of who ordered, stopped and
 * released its runs, and against a log that grows with every ordinary run.
 */
class RunNoticesTests {

	private static final RunId RUN = LeaseManagerHarness.run("b1", 1);

	private static final RunId OTHER_RUN = LeaseManagerHarness.run("b2", 1);

	private final LeaseManagerHarness harness = LeaseManagerHarness.settled();

	@Example
	void namesTheEntryTheTokenAndTheLeaseOfAnOrder() {
		this.harness.requestStart(RUN);
		assertThat(detail(NoticeKind.RUN_ORDERED)).contains("by entry-1 incarnation 1", "order 1", "token 7",
				"lease until 1784 ", "session confirmed 0 ms ago");
	}

	@Example
	void reportsAnOrdinaryRunOnlyAtTheLevelOfSingleRequests() {
		this.harness.notices.clear();
		this.harness.startRunning(RUN);
		this.harness.advance(200);
		this.harness.answerPoll(List.of(new ActiveRun(RUN, 50)), List.of());
		this.harness.answerPoll(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.DONE)));
		assertThat(this.harness.notices).extracting(Notice::kind)
			.containsExactly(NoticeKind.RUN_ORDERED, NoticeKind.START_ANSWERED, NoticeKind.RUN_ENDED);
		assertThat(detail(NoticeKind.RUN_ENDED)).contains("DONE", "the end is listed");
	}

	@Example
	void reportsTheCauseOfAStopAndTheAgeOfTheLastConfirmation() {
		this.harness.startRunning(RUN);
		this.harness.entryConfirmsPings = false;
		this.harness.advance(300);
		this.harness.leaseManager.onEntryLost(LeaseManagerHarness.ENTRY, LeaseManagerHarness.ENTRY_INCARNATION,
				this.harness.now());
		assertThat(detail(NoticeKind.STOP_REQUESTED)).contains("the entry is lost", "run of entry-1 in state RUNNING",
				"session confirmed 300 ms ago", "lease expires in ");
	}

	@Example
	void reportsARunThatItsEntryNoLongerHolds() {
		this.harness.startRunning(RUN);
		this.harness.leaseManager.onMessage(LeaseManagerHarness.ENTRY, LeaseManagerHarness.ENTRY_INCARNATION,
				new HeldRuns(List.of()), this.harness.now());
		assertThat(detail(NoticeKind.STOP_REQUESTED)).contains("not listed by the entry");
	}

	@Example
	void reportsRepeatedStopOrdersAndTheConfirmedEnd() {
		this.harness.startRunning(RUN);
		this.harness.requestStop(RUN);
		assertThat(this.harness.notices(NoticeKind.STOP_REPEATED)).isEmpty();
		this.harness.advance(160);
		assertThat(this.harness.notices(NoticeKind.STOP_REPEATED)).hasSize(1);
		this.harness.leaseManager.onStopAnswered(RUN, OrderResult.ACCEPTED, OptionalLong.of(0), this.harness.now());
		this.harness.answerPoll(List.of(), List.of());
		assertThat(this.harness.notices(NoticeKind.STOP_REQUESTED)).hasSize(1);
		assertThat(this.harness.notices(NoticeKind.STOP_SENT)).hasSize(2);
		assertThat(detail(NoticeKind.STOP_ANSWERED)).contains("ACCEPTED 160 ms after the request");
		assertThat(detail(NoticeKind.STOP_CONFIRMED)).contains("160 ms after the request, 2 stop orders",
				"absent from the answer to a conclusive poll");
	}

	@Example
	void measuresTheTimeFromAStopRequestToTheConfirmedEnd() {
		this.harness.startRunning(RUN);
		this.harness.requestStop(RUN);
		this.harness.advance(70);
		this.harness.answerPoll(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.STOPPED)));
		assertThat(this.harness.notices(NoticeKind.STOP_CONFIRMED)).extracting(Notice::durationNanos)
			.containsExactly(OptionalLong.of(70_000_000));
	}

	@Example
	void tellsTheOldestConfirmationOfTheSessionsWithRuns() {
		this.harness.leaseManager.onEntryConnected(LeaseManagerHarness.SECOND_ENTRY,
				LeaseManagerHarness.ENTRY_INCARNATION, this.harness.now());
		this.harness.advance(500);
		assertThat(this.harness.leaseManager.oldestConfirmationNanos()).isEmpty();
		this.harness.startRunning(RUN);
		long confirmedNanos = this.harness.now().nanos();
		this.harness.entryConfirmsPings = false;
		this.harness.advance(300);
		assertThat(this.harness.leaseManager.oldestConfirmationNanos()).hasValue(confirmedNanos);
	}

	@Example
	void namesTheRunsAndStatesThatAnExpiredLeaseReleases() {
		this.harness.startRunning(RUN);
		this.harness.requestStart(OTHER_RUN);
		this.harness.answerStart(OTHER_RUN, OrderResult.UNANSWERED);
		this.harness.advance(1_200);
		assertThat(detail(NoticeKind.LEASE_ENDED)).contains("2 runs", RUN + " RUNNING",
				OTHER_RUN + " START_UNCONFIRMED");
		assertThat(this.harness.notices(NoticeKind.RUN_RELEASED)).hasSize(1)
			.allMatch((notice) -> notice.subject().equals(RUN.toString())
					&& notice.detail().contains("in state RUNNING, start ACCEPTED"));
		assertThat(detail(NoticeKind.STOP_REQUESTED)).contains("in state START_UNCONFIRMED");
		assertThat(this.harness.notices(NoticeKind.STOP_CONFIRMED)).isEmpty();
	}

	@Example
	void reportsARunThatIsActiveAlthoughItsStartWasNotAnswered() {
		this.harness.requestStart(RUN);
		this.harness.answerStart(RUN, OrderResult.UNANSWERED);
		this.harness.answerPoll(List.of(), List.of());
		this.harness.answerPoll(List.of(new ActiveRun(RUN, 1)), List.of());
		this.harness.answerPoll(List.of(new ActiveRun(RUN, 2)), List.of());
		assertThat(this.harness.notices(NoticeKind.LATE_START_ACTIVE)).hasSize(1);
		assertThat(detail(NoticeKind.LATE_START_ACTIVE)).contains("in state START_PENDING");
		assertThat(this.harness.notices(NoticeKind.RUN_ORDERED)).hasSize(2)
			.last()
			.extracting(Notice::detail)
			.asString()
			.contains("order 1 repeated 0 ms after the first time, token 8");
	}

	@Example
	void doesNotReportARunAsLateWhoseStartIsAnsweredWhileItIsBeingStopped() {
		this.harness.requestStart(RUN);
		this.harness.requestStop(RUN);
		this.harness.answerStart(RUN, OrderResult.ACCEPTED);
		this.harness.answerPoll(List.of(new ActiveRun(RUN, 1)), List.of());
		assertThat(this.harness.notices(NoticeKind.LATE_START_ACTIVE)).isEmpty();
	}

	@Example
	void namesTheTokenAndTheEndOfARunOfAnotherGuard() {
		this.harness.startRunning(OTHER_RUN);
		this.harness.answerPoll(List.of(new ActiveRun(OTHER_RUN, 1), new ActiveRun(RUN, 1)), List.of());
		assertThat(detail(NoticeKind.ORPHAN_STOPPED)).contains("token 7");
		this.harness.answerPoll(List.of(new ActiveRun(OTHER_RUN, 1)),
				List.of(new EndedRun(1, RUN, RunOutcome.STOPPED)));
		assertThat(detail(NoticeKind.END_NOT_HELD)).isEqualTo("STOPPED, end number 1, "
				+ "in the answer to poll 3 of 3 sent 0 ms ago, endpoint's clock 1000, no record of the run");
	}

	@Example
	void reportsTheEndOfARunThatWasReleasedBefore() {
		this.harness.startRunning(RUN);
		this.harness.advance(1_200);
		assertThat(this.harness.outcomes(RUN)).containsExactly(RunOutcome.LAPSED);
		this.harness.answerPoll(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.DONE)));
		this.harness.answerPoll(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.DONE)));
		assertThat(this.harness.notices(NoticeKind.END_NOT_HELD)).extracting(Notice::detail)
			.containsExactly("DONE, end number 1, in the answer to poll 4 of 4 sent 400 ms ago, "
					+ "endpoint's clock 2200, ended here 370 ms ago as LAPSED for entry-1 incarnation 1, "
					+ "proof: the lease counts as expired, without an answer of the endpoint");
	}

	// Guards against a record that does not tell whether a guard stops a run of its
	// predecessor or one that it has ended itself, and from how old an answer.
	@Example
	void namesTheAnswerThatListedAnUnknownRunAndHowItHadEndedHere() {
		this.harness.startRunning(RUN);
		this.harness.advance(1_200);
		this.harness.answerPoll(List.of(new ActiveRun(RUN, 1)), List.of());
		assertThat(detail(NoticeKind.ORPHAN_STOPPED)).isEqualTo("active without an order from this guard, token 7, "
				+ "in the answer to poll 4 of 4 sent 400 ms ago, endpoint's clock 2200, ended here 370 ms ago as LAPSED for "
				+ "entry-1 incarnation 1, proof: the lease counts as expired, without an answer of the endpoint");
	}

	@Example
	void namesTheIncarnationAndTheClaimOfTheEntryOfARunThatIsRefusedOrNotDone() {
		this.harness.leaseManager.onMessage(LeaseManagerHarness.ENTRY, LeaseManagerHarness.ENTRY_INCARNATION,
				new ClaimBatch(RUN.batch(), 17, 1_000, Optional.empty()), this.harness.now());
		this.harness.requestStart(RUN);
		this.harness.answerStart(RUN, OrderResult.NO_ROOM);
		assertThat(detail(NoticeKind.RUN_NOT_DONE)).contains("requested by entry-1 incarnation 1, claim 17, start ");
		this.harness.sendHeartbeat(LeaseManagerHarness.ENDPOINT_INCARNATION, true);
		this.harness.requestStart(OTHER_RUN);
		assertThat(detail(NoticeKind.RUN_REFUSED)).contains("requested by entry-1 incarnation 1, no claim here, free ");
	}

	@Example
	void reportsThatARunOfAPreviousGuardCountsAsNotStarted() {
		LeaseManagerHarness restarted = new LeaseManagerHarness();
		restarted.leaseManager.onEntryConnected(LeaseManagerHarness.ENTRY, LeaseManagerHarness.ENTRY_INCARNATION,
				restarted.now());
		restarted.sendHeartbeat(LeaseManagerHarness.ENDPOINT_INCARNATION, false);
		restarted.requestStop(RUN);
		restarted.answerPoll(List.of(), List.of());
		assertThat(restarted.notices(NoticeKind.RUN_NOT_HELD)).extracting(Notice::detail)
			.containsExactly(
					"to be reported when the endpoint has settled to entry-1: NOT_STARTED, no record of the run",
					"reported to entry-1: NOT_STARTED, no record of the run");
	}

	@Example
	void reportsAtMostOncePerSecondThatALeaseOutlastsASession() {
		LeaseSettings settings = LeaseSettings.of(1000);
		EntrySessions sessions = new EntrySessions(settings, (entry, message) -> {
		});
		sessions.open(LeaseManagerHarness.ENTRY, LeaseManagerHarness.ENTRY_INCARNATION, 0).confirm(0);
		RunNotices runNotices = new RunNotices(settings, sessions, new EndpointClock(), new EndedRunHistory(),
				new PollTracker(), this.harness.notices::add);
		HeldRun held = new HeldRun(RUN, LeaseManagerHarness.OWNER, 1, LeaseManagerHarness.NEEDS, 7, 0);
		for (long millis = 800; millis <= 1_800; millis += 100) {
			runNotices.onLeaseGranted(List.of(held), millis * 1_000_000);
			assertThat(this.harness.notices(NoticeKind.LEASE_OUTLASTS_SESSION)).hasSize((millis <= 900) ? 0 : 1);
		}
		assertThat(detail(NoticeKind.LEASE_OUTLASTS_SESSION)).contains("after the last confirmation of entry-1",
				RUN + " START_PENDING");
	}

	@Example
	void grantsNoLeaseThatItWouldReportToOutlastASession() {
		this.harness.startRunning(RUN);
		this.harness.entryConfirmsPings = false;
		for (int percent = 1; percent <= 17; percent++) {
			this.harness.advance(100);
			this.harness.answerPoll(List.of(new ActiveRun(RUN, percent)), List.of());
		}
		assertThat(this.harness.notices(NoticeKind.LEASE_OUTLASTS_SESSION)).isEmpty();
	}

	@Example
	void doesNotReportThatALeaseOutlastsASessionThatIsConfirmed() {
		this.harness.startRunning(RUN);
		for (int percent = 1; percent <= 30; percent++) {
			this.harness.advance(100);
			this.harness.answerPoll(List.of(new ActiveRun(RUN, percent)), List.of());
		}
		assertThat(this.harness.notices(NoticeKind.LEASE_OUTLASTS_SESSION)).isEmpty();
	}

	@Example
	void namesTheEntryThatHoldsTheBatchOfARefusedRun() {
		this.harness.startRunning(RUN);
		this.harness.advance(300);
		this.harness.requestStartFromSecondEntry(RUN);
		assertThat(detail(NoticeKind.START_CLAIMED))
			.isEqualTo("requested by entry-2 incarnation 1, batch held by entry-1 incarnation 1 for 300 ms");
	}

	@Example
	void reportsAnOrderForARunThatItsEntryHas() {
		this.harness.startRunning(RUN);
		this.harness.requestStart(RUN);
		assertThat(this.harness.starts).containsExactly(RUN);
		assertThat(detail(NoticeKind.RUN_REORDERED)).contains("by entry-1, held in state RUNNING");
	}

	private String detail(NoticeKind kind) {
		List<Notice> found = this.harness.notices(kind);
		assertThat(found).isNotEmpty();
		return found.get(found.size() - 1).detail();
	}

}
