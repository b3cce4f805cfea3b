package io.coriandermux.core.guard;

import java.util.Collections;
import java.util.List;

import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.api.Resources;
import io.coriandermux.core.home.HomeMember;
import io.coriandermux.core.home.HomeTable;
import io.coriandermux.core.id.AttemptId;
import io.coriandermux.core.id.EndpointName;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Epoch;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.PartitionEpoch;
import io.coriandermux.core.id.RackName;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.id.ZoneName;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.message.Answer;
import io.coriandermux.core.message.CancelTask;
import io.coriandermux.core.message.Fence;
import io.coriandermux.core.message.FenceAnswer;
import io.coriandermux.core.message.LedgerEntry;
import io.coriandermux.core.message.LedgerState;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.Refused;
import io.coriandermux.core.message.Start;
import io.coriandermux.core.message.StartRefusal;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that a guard refuses every start that could run a task twice or under a stale
 * epoch, and that answers reach the entry that is home of the task.
 */
class GuardNodeTests {

	private static final EntryId HOME = new EntryId("e1");

	private static final EntryId NEW_HOME = new EntryId("e2");

	private static final Partition PARTITION = new Partition(7);

	private static final JobKey JOB = new JobKey(new OwnerId("guild"), "job");

	private Moment now = new Moment(100_000_000_000L, 1_700_000_000_000L);

	private final GuardNode node = new GuardNode(
			new GuardSettings(new GuardInfo(new GuardId("g1"), new Incarnation(1), "127.0.0.1", 1, new ZoneName("z"),
					new RackName("r"), new EndpointName("g1"), 2, Resources.NONE), 120_000, 1024, 5),
			new OvercommittedSlots(2));

	GuardNodeTests() {
		handle(new EntryConnected(HOME, new Incarnation(1)));
		handle(new EntryConnected(NEW_HOME, new Incarnation(2)));
	}

	private List<GuardEffect> handle(GuardEvent event) {
		return this.node.handle(event, this.now);
	}

	private List<GuardEffect> receive(EntryId entry, Message message) {
		return handle(new EntryMessage(entry, new Incarnation(entry.equals(HOME) ? 1 : 2), message));
	}

	private void readHomeTable(long epoch) {
		handle(new GuardHomesRead(new HomeTable(new Revision(1), List.of(new HomeMember(HOME, new Incarnation(1))),
				Collections.nCopies(Partition.COUNT, 0), Collections.nCopies(Partition.COUNT, epoch))));
	}

	private Start start(int task, long attempt, long epoch) {
		return start(task, attempt, epoch, this.now.nanos());
	}

	private Start start(int task, long attempt, long epoch, long echo) {
		return new Start(new TaskKey(JOB, task), new AttemptId(attempt), PARTITION, new Epoch(epoch), echo, "/run",
				new byte[0], 1_000, false, 0);
	}

	private static StartRefusal refusalReason(List<GuardEffect> effects) {
		return effects.stream()
			.filter((effect) -> effect instanceof SendToEntry send && send.message() instanceof Refused)
			.map((effect) -> ((Refused) ((SendToEntry) effect).message()).reason())
			.findFirst()
			.orElse(null);
	}

	private List<GuardEffect> endTask(int task, boolean success) {
		return handle(new TaskEnded(new TaskKey(JOB, task), new AttemptId(task + 1), success, new byte[] { 1 }, 5));
	}

	private static boolean startsTask(List<GuardEffect> effects) {
		return effects.stream().anyMatch(RunTask.class::isInstance);
	}

	@Example
	void guardThatHasNotReadTheHomeTableStartsNothing() {
		assertThat(refusalReason(receive(HOME, start(0, 1, 1)))).isEqualTo(StartRefusal.NOT_READY);
	}

	@Example
	void startsUnderAnotherEpochAreRefused() {
		readHomeTable(3);
		assertThat(refusalReason(receive(HOME, start(0, 1, 2)))).isEqualTo(StartRefusal.STALE_EPOCH);
		assertThat(refusalReason(receive(HOME, start(1, 2, 4)))).isEqualTo(StartRefusal.UNFENCED);
		assertThat(startsTask(receive(HOME, start(0, 3, 3)))).isTrue();
	}

	@Example
	void startWithAStaleClockEchoIsRefused() {
		readHomeTable(1);
		assertThat(refusalReason(receive(HOME, start(0, 1, 1, this.now.nanos() - 2_000_000_001L))))
			.isEqualTo(StartRefusal.START_EXPIRED);
		assertThat(startsTask(receive(HOME, start(0, 2, 1, this.now.nanos() - 2_000_000_000L)))).isTrue();
	}

	@Example
	void repeatedStartIsAnsweredFromTheLedger() {
		readHomeTable(1);
		receive(HOME, start(0, 1, 1));
		assertThat(receive(HOME, start(0, 1, 1))).isEmpty();
		endTask(0, true);
		assertThat(receive(HOME, start(0, 1, 1))).singleElement()
			.satisfies((effect) -> assertThat(((Answer) ((SendToEntry) effect).message()).state())
				.isEqualTo(LedgerState.FINISHED));
	}

	@Example
	void delayedCopyOfARefusedStartDoesNotStartTheTask() {
		readHomeTable(1);
		receive(HOME, start(0, 1, 1));
		receive(HOME, start(1, 2, 1));
		Start refused = start(2, 3, 1);
		assertThat(refusalReason(receive(HOME, refused))).isEqualTo(StartRefusal.NO_SLOT);
		endTask(0, true);
		assertThat(startsTask(receive(HOME, refused))).isFalse();
		assertThat(startsTask(receive(HOME, start(2, 4, 1)))).isTrue();
	}

	@Example
	void startThatArrivesAfterItsCancellationIsRefused() {
		readHomeTable(1);
		receive(HOME, CancelTask.abort(new TaskKey(JOB, 0), ReplyCode.CANCELLED));
		assertThat(startsTask(receive(HOME, start(0, 1, 1)))).isFalse();
	}

	@Example
	void fullLedgerRefusesStartsAndKeepsItsEntries() {
		readHomeTable(1);
		for (int task = 0; task < 3; task++) {
			receive(HOME, start(task, task + 1, 1));
			endTask(task, true);
		}
		assertThat(refusalReason(receive(HOME, start(3, 4, 1)))).isEqualTo(StartRefusal.LEDGER_FULL);
		assertThat(startsTask(receive(HOME, start(0, 9, 1)))).isFalse();
		this.now = this.now.plusNanos(122_000_000_000L);
		assertThat(startsTask(receive(HOME, start(3, 5, 1)))).isTrue();
	}

	@Example
	void answerOfATaskThatRunsDuringATakeOverIsSentToTheNewHome() {
		readHomeTable(1);
		receive(HOME, start(0, 1, 1));
		List<GuardEffect> fenced = receive(NEW_HOME, new Fence(List.of(new PartitionEpoch(PARTITION, new Epoch(2)))));
		assertThat(fenced).filteredOn(SendToEntry.class::isInstance)
			.extracting((effect) -> ((SendToEntry) effect).entry())
			.containsExactly(HOME, NEW_HOME);
		FenceAnswer page = (FenceAnswer) ((SendToEntry) fenced.get(2)).message();
		assertThat(page.entries()).hasSize(1);
		List<GuardEffect> ended = endTask(0, true);
		assertThat(ended).filteredOn((effect) -> ((SendToEntry) effect).message() instanceof Answer)
			.extracting((effect) -> ((SendToEntry) effect).entry())
			.containsExactly(NEW_HOME);
	}

	@Example
	void olderFenceDoesNotLowerTheEpoch() {
		readHomeTable(3);
		receive(NEW_HOME, new Fence(List.of(new PartitionEpoch(PARTITION, new Epoch(2)))));
		assertThat(refusalReason(receive(HOME, start(0, 1, 2)))).isEqualTo(StartRefusal.STALE_EPOCH);
	}

	@Example
	void drainRefusesStartsAndFinishesWhenNoTaskRuns() {
		readHomeTable(1);
		receive(HOME, start(0, 1, 1));
		assertThat(handle(new DrainRequested(1_000))).hasSize(2);
		assertThat(refusalReason(receive(HOME, start(1, 2, 1)))).isEqualTo(StartRefusal.LEAVING);
		assertThat(endTask(0, true)).hasAtLeastOneElementOfType(DrainFinished.class);
	}

	@Example
	void taskOverItsTimeLimitIsAborted() {
		readHomeTable(1);
		receive(HOME, start(0, 1, 1));
		this.now = this.now.plusNanos(1_000_000_000L);
		assertThat(handle(new GuardTick())).containsExactly(new AbortTask(new TaskKey(JOB, 0)));
		Answer answer = (Answer) ((SendToEntry) endTask(0, false).get(0)).message();
		assertThat(new String(answer.body())).startsWith(TaskEnded.TIME_LIMIT_REASON);
	}

	@Example
	void endOfAnotherAttemptIsIgnored() {
		readHomeTable(1);
		receive(HOME, start(0, 1, 1));
		handle(new TaskEnded(new TaskKey(JOB, 0), new AttemptId(9), true, new byte[0], 1));
		assertThat(this.node.status().running()).isEqualTo(1);
	}

	@Example
	void finishedTaskOfACancelledJobIsReportedAsCancelledToALaterHome() {
		readHomeTable(1);
		receive(HOME, new Fence(List.of(new PartitionEpoch(PARTITION, new Epoch(1)))));
		receive(HOME, start(0, 1, 1));
		endTask(0, true);
		receive(HOME, new CancelTask(new TaskKey(JOB, 0), ReplyCode.CANCELLED, true));
		assertThat(fenceAndListStates(NEW_HOME, 2)).containsExactly(LedgerState.CANCELLED);
	}

	@Example
	void previousHomeCannotCancelAFinishedTaskAfterATakeOver() {
		readHomeTable(1);
		receive(HOME, new Fence(List.of(new PartitionEpoch(PARTITION, new Epoch(1)))));
		receive(HOME, start(0, 1, 1));
		endTask(0, true);
		receive(NEW_HOME, new Fence(List.of(new PartitionEpoch(PARTITION, new Epoch(2)))));
		receive(HOME, new CancelTask(new TaskKey(JOB, 0), ReplyCode.DEADLINE, true));
		assertThat(fenceAndListStates(NEW_HOME, 3)).containsExactly(LedgerState.FINISHED);
	}

	private List<LedgerState> fenceAndListStates(EntryId entry, long epoch) {
		return receive(entry, new Fence(List.of(new PartitionEpoch(PARTITION, new Epoch(epoch))))).stream()
			.filter((effect) -> effect instanceof SendToEntry send && send.message() instanceof FenceAnswer)
			.flatMap((effect) -> ((FenceAnswer) ((SendToEntry) effect).message()).entries().stream())
			.map(LedgerEntry::state)
			.toList();
	}

}
