package io.coriandermux.core.lease;

import java.util.List;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.message.HeldRuns;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.StopRun;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Run numbers begin with 1 at each entry, so two entries that get the same batch name
 * different runs by the same id. Guards against an entry that is told the end of another
 * entry's run, and then starts the task elsewhere, and against an entry that stops it.
 */
class OwnedRunTests {

	private static final RunId RUN = LeaseManagerHarness.run("b1", 1);

	private static final RunId OTHER_RUN = LeaseManagerHarness.run("b2", 1);

	private static final RunId THIRD_RUN = LeaseManagerHarness.run("b3", 1);

	private final LeaseManagerHarness harness = LeaseManagerHarness.settled();

	// Guards against a refusal of one entry's run that is reported to another entry as
	// the end of its run of the same number.
	@Example
	void startsARunThatWasRefusedForAnotherEntry() {
		this.harness.startRunning(OTHER_RUN);
		this.harness.startRunning(THIRD_RUN);
		this.harness.requestStart(RUN);
		assertThat(this.harness.outcomes(RUN)).containsExactly(RunOutcome.NO_ROOM);
		this.harness.answerPoll(List.of(new ActiveRun(THIRD_RUN, 1)),
				List.of(new EndedRun(1, OTHER_RUN, RunOutcome.DONE)));
		this.harness.requestStartFromSecondEntry(RUN);
		assertThat(this.harness.starts).containsExactly(OTHER_RUN, THIRD_RUN, RUN);
		assertThat(this.harness.outcomesOfSecondEntry(RUN)).isEmpty();
	}

	// Guards against an answer to one entry's question that makes another entry start its
	// task again.
	@Example
	void startsARunThatWasReportedToAnotherEntryAsNotStarted() {
		this.harness.requestStop(RUN);
		assertThat(this.harness.outcomes(RUN)).containsExactly(RunOutcome.NOT_STARTED);
		this.harness.requestStartFromSecondEntry(RUN);
		assertThat(this.harness.starts).containsExactly(RUN);
		assertThat(this.harness.outcomesOfSecondEntry(RUN)).isEmpty();
	}

	// Guards against an entry that has given a batch up and stops the run of the entry
	// that has it now.
	@Example
	void stopsARunOnlyAtTheRequestOfItsEntry() {
		this.harness.startRunning(RUN);
		sendFromSecondEntry(new StopRun(RUN));
		assertThat(this.harness.stops).isEmpty();
		assertThat(this.harness.outcomes(RUN)).isEmpty();
		assertThat(this.harness.outcomesOfSecondEntry(RUN)).containsExactly(RunOutcome.NOT_STARTED);
	}

	// Guards against two runs of a task: the entry starts it elsewhere after the report,
	// and its order arrives late, after the other entry's run has ended.
	@Example
	void startsNoRunThatItHasReportedAsNotStartedWhileAnotherEntryHadOne() {
		this.harness.startRunning(RUN);
		sendFromSecondEntry(new StopRun(RUN));
		this.harness.answerPoll(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.DONE)));
		this.harness.requestStartFromSecondEntry(RUN);
		assertThat(this.harness.starts).containsExactly(RUN);
		assertThat(this.harness.outcomesOfSecondEntry(RUN)).containsExactly(RunOutcome.NOT_STARTED,
				RunOutcome.NOT_STARTED);
		assertThat(this.harness.outcomes(RUN)).containsExactly(RunOutcome.DONE);
	}

	// Guards against an entry that waits for a run that the guard holds for another one.
	@Example
	void answersAnEntryThatListsARunOfAnotherEntry() {
		this.harness.startRunning(RUN);
		sendFromSecondEntry(new HeldRuns(List.of(RUN)));
		assertThat(this.harness.stops).isEmpty();
		assertThat(this.harness.outcomes(RUN)).isEmpty();
		assertThat(this.harness.outcomesOfSecondEntry(RUN)).containsExactly(RunOutcome.NOT_STARTED);
	}

	// Guards against an entry that waits without end because its question was replaced by
	// that of another entry.
	@Example
	void answersTwoEntriesThatAskAboutRunsOfTheSameNumberBeforeItIsSettled() {
		LeaseManagerHarness restarted = new LeaseManagerHarness();
		restarted.connect(LeaseManagerHarness.ENTRY);
		restarted.connect(LeaseManagerHarness.SECOND_ENTRY);
		restarted.sendHeartbeat(LeaseManagerHarness.ENDPOINT_INCARNATION, false);
		restarted.requestStop(RUN);
		restarted.leaseManager.onMessage(LeaseManagerHarness.SECOND_ENTRY, LeaseManagerHarness.ENTRY_INCARNATION,
				new HeldRuns(List.of(RUN)), restarted.now());
		restarted.answerPoll(List.of(), List.of());
		assertThat(restarted.outcomes(RUN)).containsExactly(RunOutcome.NOT_STARTED);
		assertThat(restarted.outcomesOfSecondEntry(RUN)).containsExactly(RunOutcome.NOT_STARTED);
	}

	// Guards against the end of a run that ended before, listed late, which counts as the
	// end of another entry's run of the same number.
	@Example
	void doesNotOrderARunAgainThatItHasOrderedForAnotherEntry() {
		this.harness.startRunning(RUN);
		this.harness.advance(1_200);
		assertThat(this.harness.outcomes(RUN)).containsExactly(RunOutcome.LAPSED);
		this.harness.answerPoll(List.of(), List.of());
		this.harness.requestStartFromSecondEntry(RUN);
		assertThat(this.harness.starts).containsExactly(RUN);
		assertThat(this.harness.outcomesOfSecondEntry(RUN)).containsExactly(RunOutcome.SUPERSEDED);
	}

	// Guards against an entry that takes the end of a run of its former incarnation for
	// that of its own run of the same number.
	@Example
	void doesNotReportTheEndOfARunToTheNextIncarnationOfItsEntry() {
		this.harness.startRunning(RUN);
		this.harness.messages.clear();
		connectNextIncarnation();
		this.harness.answerPoll(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.STOPPED)));
		assertThat(this.harness.leaseManager.isIdle()).isTrue();
		assertThat(this.harness.outcomes(RUN)).isEmpty();
	}

	// Guards against a run of the former incarnation that answers the next one's
	// question.
	@Example
	void answersTheNextIncarnationOfAnEntryFromItsOwnRunsOnly() {
		this.harness.startRunning(RUN);
		this.harness.answerPoll(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.DONE)));
		this.harness.messages.clear();
		Incarnation next = connectNextIncarnation();
		this.harness.leaseManager.onMessage(LeaseManagerHarness.ENTRY, next, new HeldRuns(List.of(RUN)),
				this.harness.now());
		assertThat(this.harness.outcomes(RUN)).containsExactly(RunOutcome.NOT_STARTED);
	}

	// Guards against an order that is carried out after the report that it was refused.
	@Example
	void startsNoRunThatItHasRefusedBecauseAnotherEntryHadOne() {
		this.harness.startRunning(RUN);
		this.harness.requestStartFromSecondEntry(RUN);
		assertThat(this.harness.outcomesOfSecondEntry(RUN)).containsExactly(RunOutcome.CLAIMED);
		this.harness.answerPoll(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.DONE)));
		this.harness.requestStartFromSecondEntry(RUN);
		assertThat(this.harness.starts).containsExactly(RUN);
		assertThat(this.harness.outcomesOfSecondEntry(RUN)).containsExactly(RunOutcome.CLAIMED, RunOutcome.NOT_STARTED);
	}

	private Incarnation connectNextIncarnation() {
		Incarnation next = new Incarnation(2);
		this.harness.leaseManager.onEntryConnected(LeaseManagerHarness.ENTRY, next, this.harness.now());
		return next;
	}

	private void sendFromSecondEntry(Message message) {
		EntryId entry = LeaseManagerHarness.SECOND_ENTRY;
		this.harness.connect(entry);
		this.harness.leaseManager.onMessage(entry, LeaseManagerHarness.ENTRY_INCARNATION, message, this.harness.now());
	}

}
