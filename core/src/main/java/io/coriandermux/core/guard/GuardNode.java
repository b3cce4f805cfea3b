package io.coriandermux.core.guard;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.coriandermux.core.accept.ContentHash;
import io.coriandermux.core.fence.FenceTable;
import io.coriandermux.core.home.TimingLimits;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.PartitionEpoch;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.ledger.Ledger;
import io.coriandermux.core.message.Answer;
import io.coriandermux.core.message.CancelTask;
import io.coriandermux.core.message.Demand;
import io.coriandermux.core.message.Fence;
import io.coriandermux.core.message.FenceAnswer;
import io.coriandermux.core.message.Leaving;
import io.coriandermux.core.message.LedgerEntry;
import io.coriandermux.core.message.LedgerState;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.Refused;
import io.coriandermux.core.message.Release;
import io.coriandermux.core.message.Start;
import io.coriandermux.core.message.StartRefusal;
import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.slot.SlotAllocator;
import io.coriandermux.core.slot.SlotMessage;

/**
 * State machine of a guard. It decides which tasks start at the endpoint and which entry
 * receives their answers.
 */
public final class GuardNode {

	private static final byte[] NO_BODY = new byte[0];

	private final GuardSettings settings;

	private final SlotAllocator slots;

	private final Ledger ledger;

	private final FenceTable fences = new FenceTable();

	private final Tombstones tombstones = new Tombstones();

	private final Map<EntryId, Incarnation> links = new LinkedHashMap<>();

	private final Map<TaskKey, RunningTask> running = new LinkedHashMap<>();

	private List<GuardEffect> effects = new ArrayList<>();

	private Optional<Leaving> leavingMessage = Optional.empty();

	private boolean drainReported;

	/**
	 * Creates the state machine of a guard that has not read the home table yet.
	 * @param settings the settings
	 * @param slots the slots of the endpoint
	 */
	public GuardNode(GuardSettings settings, SlotAllocator slots) {
		this.settings = settings;
		this.slots = slots;
		this.ledger = new Ledger(TimingLimits.keepNanos(settings.retentionMillis()), settings.ledgerBytes());
	}

	/**
	 * Handles an event.
	 * @param event the event
	 * @param now the current time
	 * @return the effects to carry out in order
	 */
	public List<GuardEffect> handle(GuardEvent event, Moment now) {
		this.effects = new ArrayList<>();
		this.ledger.expire(now);
		this.tombstones.expire(now);
		if (event instanceof EntryMessage arrived) {
			handleMessage(arrived, now);
		}
		else if (event instanceof TaskEnded ended) {
			handleTaskEnded(ended, now);
		}
		else if (event instanceof EntryConnected connected) {
			handleConnected(connected);
		}
		else if (event instanceof EntryDisconnected disconnected) {
			handleDisconnected(disconnected);
		}
		else if (event instanceof GuardHomesRead read) {
			this.fences.onHomesRead(read.homes());
		}
		else if (event instanceof DrainRequested drain) {
			startDrain(drain);
		}
		else {
			abortTasksOverTimeLimit(now);
		}
		for (SlotMessage message : this.slots.creditMessages(now)) {
			send(message.entry(), message.message());
		}
		if (this.leavingMessage.isPresent() && this.running.isEmpty() && !this.drainReported) {
			this.drainReported = true;
			this.effects.add(new DrainFinished());
		}
		return this.effects;
	}

	/**
	 * Returns the state that is shown to operators.
	 * @return the state
	 */
	public GuardStatus status() {
		return new GuardStatus(this.fences.isReady(), this.leavingMessage.isPresent(), this.running.size(),
				this.slots.freeSlots(), this.ledger.size(), this.ledger.bytes(), this.links.size());
	}

	private void handleConnected(EntryConnected connected) {
		if (this.links.put(connected.entry(), connected.incarnation()) != null) {
			// Credit messages of the replaced link may be lost, so both sides reset the
			// credits.
			this.slots.onEntryDisconnected(connected.entry());
		}
		this.slots.onEntryConnected(connected.entry());
		this.leavingMessage.ifPresent((message) -> send(connected.entry(), message));
	}

	private void handleDisconnected(EntryDisconnected disconnected) {
		if (this.links.remove(disconnected.entry(), disconnected.incarnation())) {
			this.slots.onEntryDisconnected(disconnected.entry());
		}
	}

	private void handleMessage(EntryMessage arrived, Moment now) {
		EntryId entry = arrived.entry();
		Message message = arrived.message();
		if (!arrived.incarnation().equals(this.links.get(entry))) {
			publishNotice(NoticeKind.MESSAGE_DROPPED, entry.value(), "the sender's incarnation has no link");
		}
		else if (message instanceof Start start) {
			handleStart(start, entry, now);
		}
		else if (message instanceof Fence fence) {
			handleFence(fence, entry);
		}
		else if (message instanceof CancelTask cancel) {
			handleCancel(cancel, entry, now);
		}
		else if (message instanceof Release release) {
			this.slots.onCreditsReleased(entry, release.count());
		}
		else if (message instanceof Demand demand) {
			this.slots.onDemand(entry, demand.queued());
		}
	}

	private void handleStart(Start start, EntryId entry, Moment now) {
		this.slots.onDemand(entry, start.queued());
		Optional<LedgerEntry> known = this.ledger.find(start.task());
		if (known.isPresent()) {
			answerRepeatedStart(start, known.get(), entry);
			return;
		}
		Optional<StartRefusal> refusal = checkStart(start, entry, now);
		if (refusal.isPresent()) {
			refuse(start, entry, refusal.get());
			if (refusal.get() != StartRefusal.START_EXPIRED) {
				this.tombstones.recordRefused(start, now);
			}
			return;
		}
		this.fences.recordHome(start, entry);
		this.ledger.recordStart(new LedgerEntry(start.task(), start.partition(), start.attempt(),
				ContentHash.of(start.path(), start.payload()), LedgerState.STARTED, NO_BODY, false, 0));
		this.running.put(start.task(), new RunningTask(start, entry, now.nanos(), LedgerState.FAILED, ""));
		this.effects.add(new RunTask(start));
	}

	private Optional<StartRefusal> checkStart(Start start, EntryId entry, Moment now) {
		Optional<StartRefusal> fenceRefusal = this.fences.checkStart(start, now);
		if (fenceRefusal.isPresent()) {
			return fenceRefusal;
		}
		if (this.tombstones.covers(start)) {
			return Optional.of(StartRefusal.START_EXPIRED);
		}
		if (this.leavingMessage.isPresent()) {
			return Optional.of(StartRefusal.LEAVING);
		}
		if (!this.ledger.hasCapacityFor(start.task())) {
			return Optional.of(StartRefusal.LEDGER_FULL);
		}
		return this.slots.acquireSlot(entry) ? Optional.empty() : Optional.of(StartRefusal.NO_SLOT);
	}

	private void answerRepeatedStart(Start start, LedgerEntry known, EntryId entry) {
		if (start.epoch().compareTo(this.fences.epoch(start.partition())) < 0) {
			refuse(start, entry, StartRefusal.STALE_EPOCH);
			return;
		}
		this.fences.recordHome(start, entry);
		if (known.state() != LedgerState.STARTED) {
			send(entry, createAnswer(known, false));
		}
	}

	private void refuse(Start start, EntryId entry, StartRefusal reason) {
		publishNotice(NoticeKind.START_REFUSED, start.task().toString(), reason.name());
		send(entry, new Refused(start.task(), start.attempt(), reason, this.fences.epoch(start.partition())));
	}

	private void handleFence(Fence fence, EntryId entry) {
		Map<EntryId, List<PartitionEpoch>> displaced = this.fences.raise(fence, entry);
		// A previous home that is not notified of this fence would extend its lease by
		// later heartbeats, so it is notified before the next heartbeat on its link.
		displaced.forEach((previous, epochs) -> send(previous,
				new FenceAnswer(epochs, List.of(), true, this.settings.startedAtEpochMillis())));
		boolean[] wanted = new boolean[Partition.COUNT];
		List<PartitionEpoch> held = new ArrayList<>();
		for (PartitionEpoch raised : fence.epochs()) {
			PartitionEpoch known = new PartitionEpoch(raised.partition(), this.fences.epoch(raised.partition()));
			held.add(known);
			wanted[raised.partition().number()] = known.equals(raised);
		}
		publishNotice(NoticeKind.FENCED, entry.value(), fence.epochs().size() + " partitions");
		for (FenceAnswer page : FenceAnswerPages.split(held, this.ledger.entriesOf(wanted),
				this.settings.startedAtEpochMillis())) {
			send(entry, page);
		}
	}

	private void handleCancel(CancelTask cancel, EntryId entry, Moment now) {
		TaskKey task = cancel.task();
		String reason = TaskEnded.ABORT_REASON + cancel.cause().name();
		RunningTask runningTask = this.running.get(task);
		Optional<LedgerEntry> known = this.ledger.find(task);
		if (runningTask != null) {
			abort(runningTask, LedgerState.CANCELLED, reason);
		}
		else if (known.isEmpty()) {
			this.tombstones.recordCancelled(task, now);
		}
		else if (cancel.taskEnded() && this.fences.home(known.get().partition()).filter(entry::equals).isPresent()) {
			// A previous home must not cancel the task: the current home may already have
			// reported the job as complete.
			this.ledger.cancelFinished(task, reason.getBytes(StandardCharsets.UTF_8));
		}
	}

	private void abort(RunningTask runningTask, LedgerState state, String reason) {
		if (!runningTask.isAborting()) {
			this.running.put(runningTask.start().task(), runningTask.withAbort(state, reason));
			this.effects.add(new AbortTask(runningTask.start().task()));
		}
	}

	private void abortTasksOverTimeLimit(Moment now) {
		for (RunningTask runningTask : List.copyOf(this.running.values())) {
			if (runningTask.hasExceededTimeLimit(now.nanos())) {
				abort(runningTask, LedgerState.FAILED,
						TaskEnded.TIME_LIMIT_REASON + " of " + runningTask.start().timeLimitMillis() + " ms exceeded");
			}
		}
	}

	private void handleTaskEnded(TaskEnded ended, Moment now) {
		RunningTask runningTask = this.running.get(ended.task());
		if (runningTask == null || !runningTask.start().attempt().equals(ended.attempt())) {
			publishNotice(NoticeKind.MESSAGE_DROPPED, ended.task().toString(), "no running task has this attempt");
			return;
		}
		this.running.remove(ended.task());
		LedgerState state = ended.success() ? LedgerState.FINISHED : runningTask.failureState();
		byte[] body = (!ended.success() && runningTask.isAborting())
				? runningTask.abortReason().getBytes(StandardCharsets.UTF_8) : ended.body();
		EntryId home = this.fences.home(runningTask.start().partition()).orElse(runningTask.starter());
		boolean returnsCredit = this.slots.releaseSlot(runningTask.starter());
		if (returnsCredit && !home.equals(runningTask.starter())) {
			// The answer goes to another entry than the starter, so it cannot return the
			// credit to the starter.
			this.slots.onCreditsReleased(runningTask.starter(), 1);
			returnsCredit = false;
		}
		LedgerEntry entry = this.ledger.recordEnd(ended.task(), state, body, ended.runNanos(), now).orElseThrow();
		send(home, createAnswer(new LedgerEntry(entry.task(), entry.partition(), entry.attempt(), entry.contentHash(),
				state, body, true, ended.runNanos()), returnsCredit));
	}

	private void startDrain(DrainRequested drain) {
		if (this.leavingMessage.isEmpty()) {
			this.leavingMessage = Optional.of(new Leaving(drain.graceMillis()));
			this.slots.stopGranting();
			this.links.keySet().forEach((entry) -> send(entry, this.leavingMessage.get()));
		}
	}

	private Answer createAnswer(LedgerEntry entry, boolean returnsCredit) {
		return new Answer(entry.task(), entry.attempt(), entry.state(), entry.body(), entry.bodyComplete(),
				entry.runNanos(), this.slots.freeSlots(), returnsCredit);
	}

	private void send(EntryId entry, Message message) {
		// Messages to a disconnected entry are dropped: it sends a fence when it
		// reconnects, and receives the ledger entries in the answer.
		if (this.links.containsKey(entry)) {
			this.effects.add(new SendToEntry(entry, message));
		}
	}

	private void publishNotice(NoticeKind kind, String subject, String detail) {
		this.effects.add(new GuardNotice(new Notice(kind, subject, detail)));
	}

}
