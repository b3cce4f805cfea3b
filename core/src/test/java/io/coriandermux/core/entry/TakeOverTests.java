package io.coriandermux.core.entry;

import java.util.ArrayList;
import java.util.List;

import io.coriandermux.core.api.CancelJob;
import io.coriandermux.core.api.FetchJob;
import io.coriandermux.core.api.JobIdReserved;
import io.coriandermux.core.api.JobOutcome;
import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.Refusal;
import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.api.ReserveJobId;
import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.guard.DrainRequested;
import io.coriandermux.core.home.Partitions;
import io.coriandermux.core.id.JobId;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.member.EntryInfo;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.message.Heartbeat;
import io.coriandermux.core.message.Start;
import io.coriandermux.core.notice.NoticeKind;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against second starts and false statements after the home of a job has died.
 */
class TakeOverTests {

	private final TestBed bed = new TestBed(Samples.TABLES);

	private final EntryInfo first = this.bed.addEntry("e1", 1);

	private final EntryInfo second = this.bed.addEntry("e2", 2);

	private final GuardInfo guard = this.bed.addGuard("g1", 1, 2);

	private int numbers;

	TakeOverTests() {
		this.bed.addGuard("g2", 2, 2);
		this.bed.advance(5_000);
	}

	/** Returns a job of the first entry. */
	private SubmitJob job(String... payloads) {
		return Samples.submit(idOf(this.first), this.bed.millis(), payloads);
	}

	private String idOf(EntryInfo home) {
		while (true) {
			String id = "job-" + this.numbers++;
			Partition partition = Partitions.of(new JobKey(Samples.OWNER, id));
			if (this.bed.homes.home(partition).orElseThrow().entry().equals(home.entry())) {
				return id;
			}
		}
	}

	private JobOutcome outcome(long reference) {
		return (JobOutcome) this.bed.replies.get(reference);
	}

	@Example
	void partitionsAreSharedEvenlyWithAnEntryThatJoins() {
		assertThat(this.bed.entries.values()).extracting((node) -> node.status(this.bed.now()).partitions())
			.containsExactly(512, 512);
	}

	@Example
	void requestIsForwardedToTheHomeAndAnsweredThere() {
		this.bed.ask(this.second, 1, job("x"));
		this.bed.finishAll();
		assertThat(outcome(1).outcome()).isEqualTo(Outcome.COMPLETE);
		assertThat(this.bed.entries.get(this.first).status(this.bed.now()).jobs()).isEqualTo(1);
	}

	@Example
	void runningTaskIsJoinedAndItsAnswerReachesTheNewHome() {
		SubmitJob job = job("x");
		this.bed.ask(this.first, 1, job);
		this.bed.kill(this.first);
		this.bed.ask(this.second, 2, job);
		this.bed.finishAll();
		assertThat(outcome(2).outcome()).isEqualTo(Outcome.COMPLETE);
		assertThat(this.bed.starts).hasSize(1);
	}

	@Example
	void endedTaskIsReplayedFromTheLedger() {
		SubmitJob job = job("x");
		this.bed.ask(this.first, 1, job);
		this.bed.finishAll();
		this.bed.kill(this.first);
		this.bed.ask(this.second, 2, job);
		assertThat(Samples.bodies(outcome(2))).containsExactly("answer guild/" + job.job() + "#0");
		assertThat(this.bed.starts).hasSize(1);
	}

	@Example
	void taskThatEndsBeforeTheResubmissionIsReplayed() {
		SubmitJob job = job("x");
		this.bed.ask(this.first, 1, job);
		this.bed.kill(this.first);
		this.bed.advance(1_000);
		this.bed.finishAll();
		assertThat(((Refusal) this.bed.ask(this.second, 2, new FetchJob(Samples.OWNER, job.job(), 0))).code())
			.isEqualTo(ReplyCode.HOME_LOST);
		this.bed.ask(this.second, 3, job);
		assertThat(outcome(3).outcome()).isEqualTo(Outcome.COMPLETE);
	}

	@Example
	void taskInNoLedgerIsStartedWhenEveryGuardHasAnswered() {
		SubmitJob job = job("x", "y");
		this.bed.dropped = (message) -> message instanceof Start start && start.task().index() == 1;
		this.bed.ask(this.first, 1, job);
		this.bed.kill(this.first);
		this.bed.dropped = (message) -> false;
		this.bed.ask(this.second, 2, job);
		this.bed.finishAll();
		assertThat(outcome(2).outcome()).isEqualTo(Outcome.COMPLETE);
		assertThat(this.bed.starts).hasSize(2);
	}

	@Example
	void otherTasksUnderTheSameIdAreNotJoined() {
		String id = idOf(this.first);
		this.bed.ask(this.first, 1, Samples.submit(id, this.bed.millis(), "x"));
		this.bed.kill(this.first);
		Refusal refusal = (Refusal) this.bed.ask(this.second, 2, Samples.submit(id, this.bed.millis(), "z"));
		assertThat(refusal.code()).isEqualTo(ReplyCode.ID_CONFLICT);
	}

	@Example
	void taskThatASilentGuardMayHaveStartedIsUnknownAndNeverStarted() {
		SubmitJob job = job("x");
		this.bed.cut("e2", "g1");
		this.bed.ask(this.first, 1, job);
		this.bed.kill(this.first);
		this.bed.ask(this.second, 2, job);
		assertThat(this.bed.replies).doesNotContainKey(2L);
		this.bed.advance(4_000);
		assertThat(outcome(2).outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
		assertThat(outcome(2).code()).isEqualTo(ReplyCode.HOME_LOST);
		assertThat(this.bed.starts).hasSize(1);
	}

	@Example
	void taskThatARestartedGuardMayHaveStartedIsUnknown() {
		SubmitJob job = job("x");
		this.bed.ask(this.first, 1, job);
		this.bed.kill(this.guard);
		this.bed.addGuard("g1", 9, 2);
		this.bed.kill(this.first);
		this.bed.ask(this.second, 2, job);
		assertThat(outcome(2).outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
		assertThat(this.bed.starts).hasSize(1);
	}

	@Example
	void taskThatADepartedGuardMayHaveStartedIsUnknown() {
		SubmitJob job = job("x");
		this.bed.ask(this.first, 1, job);
		this.bed.kill(this.guard);
		this.bed.listGuards();
		this.bed.kill(this.first);
		this.bed.ask(this.second, 2, job);
		assertThat(outcome(2).outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
	}

	@Example
	void jobsThatAreProvablyYoungerRunInSpiteOfASilentGuard() {
		this.bed.addGuard("g3", 3, 2);
		this.bed.advance(5_000);
		String id = idOf(this.first);
		this.bed.cut("e2", "g1");
		this.bed.kill(this.first);
		long fenced = this.bed.millis();
		this.bed.advance(8_000);
		this.bed.ask(this.second, 1, Samples.submit(id, fenced + 7_000, "x"));
		this.bed.ask(this.second, 2, Samples.submit(id + "b", fenced + 7_001, "x"));
		JobIdReserved issued = (JobIdReserved) this.bed.ask(this.second, 3, new ReserveJobId(Samples.OWNER));
		this.bed.ask(this.second, 4, Samples.submit(issued.job().text(), 0, "x"));
		this.bed.finishAll();
		assertThat(outcome(1).outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
		assertThat(outcome(2).outcome()).isEqualTo(Outcome.COMPLETE);
		assertThat(outcome(4).outcome()).isEqualTo(Outcome.COMPLETE);
	}

	@Example
	void pausedHomeStartsNothingAndItsRequestsReachTheNewHome() {
		SubmitJob job = job("x");
		this.bed.paused.put(this.first, new ArrayList<>());
		this.bed.ask(this.first, 1, job);
		this.bed.entry(this.second, new PeerLost(this.first.entry(), this.first.incarnation()));
		this.bed.advance(1_000);
		this.bed.ask(this.second, 2, job);
		assertThat(this.bed.starts).hasSize(1);
		this.bed.resume(this.first);
		this.bed.link(this.first, this.second);
		this.bed.advance(1_000);
		this.bed.finishAll();
		assertThat(this.bed.starts).hasSize(1);
		assertThat(outcome(1).outcome()).isEqualTo(Outcome.COMPLETE);
		assertThat(outcome(2).outcome()).isEqualTo(Outcome.COMPLETE);
	}

	@Example
	void storeOutageLeavesJobsOfADeadEntryUndecidedUntilItEnds() {
		SubmitJob job = job("x");
		this.bed.ask(this.first, 1, job);
		this.bed.storeDown = true;
		this.bed.kill(this.first);
		Refusal refusal = (Refusal) this.bed.ask(this.second, 2, job);
		assertThat(refusal.outcome()).isEqualTo(Outcome.UNDECIDED);
		assertThat(refusal.code()).isEqualTo(ReplyCode.HOME_UNAVAILABLE);
		this.bed.ask(this.second, 3, Samples.submit(idOf(this.second), this.bed.millis(), "x"));
		this.bed.finishAll();
		assertThat(outcome(3).outcome()).isEqualTo(Outcome.COMPLETE);
		this.bed.storeDown = false;
		this.bed.advance(1_000);
		this.bed.ask(this.second, 4, job);
		assertThat(outcome(4).outcome()).isEqualTo(Outcome.COMPLETE);
		assertThat(this.bed.starts).hasSize(2);
	}

	@Example
	void lostAnswerOfTheStoreDoesNotStopTheTakeOver() {
		SubmitJob job = job("x");
		this.bed.ask(this.first, 1, job);
		this.bed.finishAll();
		this.bed.loseWriteAnswer = true;
		this.bed.kill(this.first);
		this.bed.advance(1_000);
		this.bed.ask(this.second, 2, job);
		assertThat(outcome(2).outcome()).isEqualTo(Outcome.COMPLETE);
	}

	@Example
	void takeOverIsAttemptedAtABoundedRateWhileTheStoreIsDown() {
		this.bed.storeDown = true;
		this.bed.kill(this.first);
		this.bed.notices.clear();
		this.bed.advance(10_000);
		assertThat(this.bed.notices).filteredOn((kind) -> kind == NoticeKind.HOMES_WRITTEN).hasSizeBetween(5, 21);
	}

	@Example
	void cancellationReachesTasksThatTheNewHomeHasFound() {
		SubmitJob job = job("x");
		this.bed.ask(this.first, 1, job);
		this.bed.kill(this.first);
		this.bed.ask(this.second, 2, new CancelJob(Samples.OWNER, new JobId(job.job().text())));
		this.bed.ask(this.second, 3, job);
		assertThat(outcome(3).code()).isEqualTo(ReplyCode.CANCELLED);
	}

	@Example
	void guardThatWasLostWithARunningTaskMakesItsOutcomeUnknown() {
		SubmitJob job = job("x", "y", "z");
		this.bed.ask(this.first, 1, job);
		this.bed.kill(this.guard);
		this.bed.finishAll();
		assertThat(outcome(1).code()).isEqualTo(ReplyCode.GUARD_LOST);
		assertThat(outcome(1).outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
	}

	@Example
	void shutdownFinishesWhatRunsAndHandsThePartitionsOver() {
		SubmitJob job = job("x");
		this.bed.ask(this.first, 1, job);
		this.bed.entry(this.first, new ShutdownRequested());
		this.bed.advance(2_000);
		EntryNode node = this.bed.entries.get(this.first);
		assertThat(node.status(this.bed.now()).partitions()).isEqualTo(1);
		assertThat(node.status(this.bed.now()).shutdownFinished()).isFalse();
		this.bed.finishAll();
		this.bed.advance(1_000);
		assertThat(outcome(1).outcome()).isEqualTo(Outcome.COMPLETE);
		assertThat(node.status(this.bed.now()).shutdownFinished()).isTrue();
		this.bed.ask(this.second, 2, job);
		assertThat(outcome(2).outcome()).isEqualTo(Outcome.COMPLETE);
		assertThat(this.bed.starts).hasSize(1);
	}

	@Example
	void homeWithoutAMajorityOfGuardsPlacesIssuedIdsOnly() {
		this.bed.addGuard("g3", 3, 2);
		this.bed.advance(5_000);
		this.bed.cut("e1", "g2");
		this.bed.cut("e1", "g3");
		this.bed.advance(6_000);
		Refusal refused = (Refusal) this.bed.ask(this.first, 1, job("x"));
		assertThat(refused.code()).isEqualTo(ReplyCode.HOME_UNCONFIRMED);
		JobIdReserved issued = (JobIdReserved) this.bed.ask(this.first, 2, new ReserveJobId(Samples.OWNER));
		this.bed.ask(this.first, 3, Samples.submit(issued.job().text(), 0, "x"));
		this.bed.finishAll();
		assertThat(outcome(3).outcome()).isEqualTo(Outcome.COMPLETE);
		assertThat(this.bed.starts).hasSize(1);
	}

	@Example
	void waitingTaskIsNotPlacedAfterTheLeaseHasLapsed() {
		this.bed.addGuard("g3", 3, 2);
		this.bed.advance(5_000);
		for (long reference = 1; reference <= 7; reference++) {
			this.bed.ask(this.first, reference, job("x"));
		}
		assertThat(this.bed.starts).hasSize(6);
		this.bed.cut("e1", "g2");
		this.bed.advance(1_000);
		this.bed.cut("e1", "g3");
		this.bed.advance(2_500);
		this.bed.paused.put(this.first, new ArrayList<>());
		this.bed.advance(6_000);
		this.bed.running.values().iterator().next().run();
		this.bed.notices.clear();
		this.bed.resume(this.first);
		assertThat(this.bed.starts).hasSize(6);
		assertThat(this.bed.notices).doesNotContain(NoticeKind.START_REFUSED);
	}

	@Example
	void isolatedHomeDoesNotClaimThatAJobDidNotRun() {
		SubmitJob late = Samples.submit(idOf(this.first), this.bed.millis() - 31_000, "x");
		assertThat(((Refusal) this.bed.ask(this.first, 1, late)).outcome()).isEqualTo(Outcome.NOT_RUN);
		List.of("g1", "g2", "e2").forEach((name) -> this.bed.cut("e1", name));
		this.bed.advance(1_600);
		Refusal refusal = (Refusal) this.bed.ask(this.first, 2, late);
		assertThat(refusal.outcome()).isEqualTo(Outcome.UNDECIDED);
		assertThat(refusal.code()).isEqualTo(ReplyCode.HOME_UNCONFIRMED);
	}

	@Example
	void attemptsOfARestartedEntryDifferFromThoseOfItsFormerIncarnation() {
		this.bed.ask(this.first, 1, job("x"));
		this.bed.kill(this.first);
		EntryInfo restarted = this.bed.addEntry("e1", 3);
		this.bed.advance(5_000);
		this.bed.ask(restarted, 2, Samples.submit(idOf(restarted), this.bed.millis(), "x"));
		assertThat(this.bed.starts).extracting((start) -> start.attempt().value() >> 24).containsExactly(1L, 3L);
	}

	@Example
	void heartbeatThatEchoesTheClockOfAnotherEntryConfirmsNoHome() {
		SubmitJob late = Samples.submit(idOf(this.first), this.bed.millis() - 31_000, "x");
		List.of("g1", "g2", "e2").forEach((name) -> this.bed.cut("e1", name));
		this.bed.advance(1_600);
		long ahead = this.bed.now().nanos() + 1_000_000_000_000L;
		Heartbeat crossed = new Heartbeat(1, ahead, this.second.incarnation(), new Revision(0), new Revision(0));
		this.bed.guards.keySet()
			.forEach((sender) -> this.bed.entry(this.first,
					new GuardMessage(sender.guard(), sender.incarnation(), crossed)));
		this.bed.entry(this.first, new PeerMessage(this.second.entry(), this.second.incarnation(), crossed));
		Refusal refusal = (Refusal) this.bed.ask(this.first, 1, late);
		assertThat(refusal.code()).isEqualTo(ReplyCode.HOME_UNCONFIRMED);
	}

	@Example
	void jobThatWasCancelledBetweenItsTasksStaysFailedAtTheNextHome() {
		SubmitJob job = job("a", "b", "c", "d", "e");
		this.bed.ask(this.first, 1, job);
		assertThat(this.bed.starts).hasSize(4);
		this.bed.guards.keySet().forEach((leaving) -> this.bed.guard(leaving, new DrainRequested(60_000)));
		this.bed.finishAll();
		this.bed.ask(this.first, 2, new CancelJob(Samples.OWNER, new JobId(job.job().text())));
		assertThat(outcome(1).code()).isEqualTo(ReplyCode.CANCELLED);
		this.bed.kill(this.first);
		this.bed.addGuard("g3", 3, 2);
		this.bed.ask(this.second, 3, job);
		this.bed.finishAll();
		assertThat(outcome(3).code()).isEqualTo(ReplyCode.CANCELLED);
		assertThat(this.bed.starts).hasSize(4);
	}

	@Example
	void requestThatWaitsForItsHomeIsNotRefusedByAShutdown() {
		SubmitJob job = job("x");
		this.bed.cut("e2", "g2");
		this.bed.kill(this.first);
		this.bed.ask(this.second, 1, job);
		assertThat(this.bed.replies).doesNotContainKey(1L);
		this.bed.entry(this.second, new ShutdownRequested());
		this.bed.healAll();
		this.bed.advance(500);
		this.bed.finishAll();
		assertThat(outcome(1).outcome()).isEqualTo(Outcome.COMPLETE);
	}

}
