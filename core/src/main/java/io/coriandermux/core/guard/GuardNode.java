package io.coriandermux.core.guard;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.coriandermux.core.accept.ContentHash;
import io.coriandermux.core.fence.FenceBook;
import io.coriandermux.core.home.HomeTimes;
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
import io.coriandermux.core.slot.SlotBook;
import io.coriandermux.core.slot.SlotMessage;

/**
 * The decisions of a guard: which tasks start at its endpoint, and to which entry their
 * answers go.
 */
public final class GuardNode {

	private static final byte[] NO_BODY = new byte[0];

	private final GuardSettings settings;

	private final SlotBook slots;

	private final Ledger ledger;

	private final FenceBook fences = new FenceBook();

	private final Tombstones tombstones = new Tombstones();

	private final Map<EntryId, Incarnation> links = new LinkedHashMap<>();

	private final Map<TaskKey, RunningTask> running = new LinkedHashMap<>();

	private List<GuardEffect> effects = new ArrayList<>();

	private Optional<Leaving> leaving = Optional.empty();

	private boolean drainReported;

	/**
	 * Creates the decisions of a guard that has read no home table.
	 * @param settings the settings
	 * @param slots the slots of the endpoint
	 */
	public GuardNode(GuardSettings settings, SlotBook slots) {
		this.settings = settings;
		this.slots = slots;
		this.ledger = new Ledger(HomeTimes.keepNanos(settings.retentionMillis()), settings.ledgerBytes());
	}

	/**
	 * Decides on an event.
	 * @param event the event
	 * @param now the current time
	 * @return the effects to carry out in order
	 */
	public List<GuardEffect> on(GuardEvent event, Moment now) {
		this.effects = new ArrayList<>();
		this.ledger.expire(now);
		this.tombstones.expire(now);
		if (event instanceof EntryMessage arrived) {
			message(arrived, now);
		}
		else if (event instanceof TaskEnded ended) {
			ended(ended, now);
		}
		else if (event instanceof EntryLinked linked) {
			linked(linked);
		}
		else if (event instanceof EntryUnlinked unlinked) {
			unlinked(unlinked);
		}
		else if (event instanceof GuardHomesRead read) {
			this.fences.read(read.homes());
		}
		else if (event instanceof DrainRequested drain) {
			drain(drain);
		}
		else {
			abortOverLimit(now);
		}
		for (SlotMessage message : this.slots.messages(now)) {
			send(message.entry(), message.message());
		}
		if (this.leaving.isPresent() && this.running.isEmpty() && !this.drainReported) {
			this.drainReported = true;
			this.effects.add(new DrainFinished());
		}
		return this.effects;
	}

	/**
	 * Returns the state for operators.
	 * @return the state
	 */
	public GuardStatus status() {
		return new GuardStatus(this.fences.ready(), this.leaving.isPresent(), this.running.size(),
				this.slots.freeSlots(), this.ledger.size(), this.ledger.bytes(), this.links.size());
	}

	private void linked(EntryLinked linked) {
		if (this.links.put(linked.entry(), linked.incarnation()) != null) {
			// Credit messages of the replaced link may be lost, so both ends start anew.
			this.slots.entryDown(linked.entry());
		}
		this.slots.entryUp(linked.entry());
		this.leaving.ifPresent((message) -> send(linked.entry(), message));
	}

	private void unlinked(EntryUnlinked unlinked) {
		if (this.links.remove(unlinked.entry(), unlinked.incarnation())) {
			this.slots.entryDown(unlinked.entry());
		}
	}

	private void message(EntryMessage arrived, Moment now) {
		EntryId entry = arrived.entry();
		Message message = arrived.message();
		if (!arrived.incarnation().equals(this.links.get(entry))) {
			notice(NoticeKind.MESSAGE_DROPPED, entry.value(), "the sender's incarnation has no link");
		}
		else if (message instanceof Start start) {
			start(start, entry, now);
		}
		else if (message instanceof Fence fence) {
			fence(fence, entry);
		}
		else if (message instanceof CancelTask cancel) {
			cancel(cancel, entry, now);
		}
		else if (message instanceof Release release) {
			this.slots.released(entry, release.count());
		}
		else if (message instanceof Demand demand) {
			this.slots.demand(entry, demand.queued());
		}
	}

	private void start(Start start, EntryId entry, Moment now) {
		this.slots.demand(entry, start.queued());
		Optional<LedgerEntry> known = this.ledger.find(start.task());
		if (known.isPresent()) {
			repeated(start, known.get(), entry);
			return;
		}
		Optional<StartRefusal> refusal = refusal(start, entry, now);
		if (refusal.isPresent()) {
			refuse(start, entry, refusal.get());
			if (refusal.get() != StartRefusal.START_EXPIRED) {
				this.tombstones.refused(start, now);
			}
			return;
		}
		this.fences.noteHome(start, entry);
		this.ledger.started(new LedgerEntry(start.task(), start.partition(), start.attempt(),
				ContentHash.of(start.path(), start.payload()), LedgerState.STARTED, NO_BODY, false, 0));
		this.running.put(start.task(), new RunningTask(start, entry, now.nanos(), LedgerState.FAILED, ""));
		this.effects.add(new RunTask(start));
	}

	private Optional<StartRefusal> refusal(Start start, EntryId entry, Moment now) {
		Optional<StartRefusal> fenced = this.fences.check(start, now);
		if (fenced.isPresent()) {
			return fenced;
		}
		if (this.tombstones.covers(start)) {
			return Optional.of(StartRefusal.START_EXPIRED);
		}
		if (this.leaving.isPresent()) {
			return Optional.of(StartRefusal.LEAVING);
		}
		if (!this.ledger.hasRoom(start.task())) {
			return Optional.of(StartRefusal.LEDGER_FULL);
		}
		return this.slots.start(entry) ? Optional.empty() : Optional.of(StartRefusal.NO_SLOT);
	}

	private void repeated(Start start, LedgerEntry known, EntryId entry) {
		if (start.epoch().compareTo(this.fences.epoch(start.partition())) < 0) {
			refuse(start, entry, StartRefusal.STALE_EPOCH);
			return;
		}
		this.fences.noteHome(start, entry);
		if (known.state() != LedgerState.STARTED) {
			send(entry, answer(known, false));
		}
	}

	private void refuse(Start start, EntryId entry, StartRefusal reason) {
		notice(NoticeKind.START_REFUSED, start.task().toString(), reason.name());
		send(entry, new Refused(start.task(), start.attempt(), reason, this.fences.epoch(start.partition())));
	}

	private void fence(Fence fence, EntryId entry) {
		Map<EntryId, List<PartitionEpoch>> displaced = this.fences.raise(fence, entry);
		// A former home counts later heartbeats for its lease only if it does not know of
		// this fence, so it is told before the next heartbeat leaves on its link.
		displaced.forEach((former, epochs) -> send(former,
				new FenceAnswer(epochs, List.of(), true, this.settings.startedAtEpochMillis())));
		boolean[] wanted = new boolean[Partition.COUNT];
		List<PartitionEpoch> held = new ArrayList<>();
		for (PartitionEpoch raised : fence.epochs()) {
			PartitionEpoch now = new PartitionEpoch(raised.partition(), this.fences.epoch(raised.partition()));
			held.add(now);
			wanted[raised.partition().number()] = now.equals(raised);
		}
		notice(NoticeKind.FENCED, entry.value(), fence.epochs().size() + " partitions");
		for (FenceAnswer page : FencePages.of(held, this.ledger.of(wanted), this.settings.startedAtEpochMillis())) {
			send(entry, page);
		}
	}

	private void cancel(CancelTask cancel, EntryId entry, Moment now) {
		TaskKey task = cancel.task();
		String reason = TaskEnded.ABORT_REASON + cancel.cause().name();
		RunningTask runs = this.running.get(task);
		Optional<LedgerEntry> known = this.ledger.find(task);
		if (runs != null) {
			abort(runs, LedgerState.CANCELLED, reason);
		}
		else if (known.isEmpty()) {
			this.tombstones.cancelled(task, now);
		}
		else if (cancel.ended() && this.fences.home(known.get().partition()).filter(entry::equals).isPresent()) {
			// A former home may be wrong: its successor may have reported the job as
			// complete.
			this.ledger.cancelDone(task, reason.getBytes(StandardCharsets.UTF_8));
		}
	}

	private void abort(RunningTask runs, LedgerState state, String reason) {
		if (!runs.isAborting()) {
			this.running.put(runs.start().task(), runs.aborted(state, reason));
			this.effects.add(new AbortTask(runs.start().task()));
		}
	}

	private void abortOverLimit(Moment now) {
		for (RunningTask runs : List.copyOf(this.running.values())) {
			if (runs.isOverLimit(now.nanos())) {
				abort(runs, LedgerState.FAILED,
						TaskEnded.TIME_LIMIT_REASON + " of " + runs.start().timeLimitMillis() + " ms exceeded");
			}
		}
	}

	private void ended(TaskEnded ended, Moment now) {
		RunningTask runs = this.running.get(ended.task());
		if (runs == null || !runs.start().attempt().equals(ended.attempt())) {
			notice(NoticeKind.MESSAGE_DROPPED, ended.task().toString(), "no such attempt runs");
			return;
		}
		this.running.remove(ended.task());
		LedgerState state = ended.success() ? LedgerState.FINISHED : runs.abort();
		byte[] body = (!ended.success() && runs.isAborting()) ? runs.abortReason().getBytes(StandardCharsets.UTF_8)
				: ended.body();
		EntryId home = this.fences.home(runs.start().partition()).orElse(runs.starter());
		boolean credit = this.slots.end(runs.starter());
		if (credit && !home.equals(runs.starter())) {
			// The starter does not see this answer, so the credit cannot travel to it.
			this.slots.released(runs.starter(), 1);
			credit = false;
		}
		LedgerEntry entry = this.ledger.end(ended.task(), state, body, ended.runNanos(), now).orElseThrow();
		send(home, answer(new LedgerEntry(entry.task(), entry.partition(), entry.attempt(), entry.content(), state,
				body, true, ended.runNanos()), credit));
	}

	private void drain(DrainRequested drain) {
		if (this.leaving.isEmpty()) {
			this.leaving = Optional.of(new Leaving(drain.graceMillis()));
			this.slots.drain();
			this.links.keySet().forEach((entry) -> send(entry, this.leaving.get()));
		}
	}

	private Answer answer(LedgerEntry entry, boolean credit) {
		return new Answer(entry.task(), entry.attempt(), entry.state(), entry.body(), entry.bodyHeld(),
				entry.runNanos(), this.slots.freeSlots(), credit);
	}

	private void send(EntryId entry, Message message) {
		// Without a link the message is not needed: a new link starts with a fence, which
		// the ledger answers.
		if (this.links.containsKey(entry)) {
			this.effects.add(new SendToEntry(entry, message));
		}
	}

	private void notice(NoticeKind kind, String subject, String detail) {
		this.effects.add(new GuardNotice(new Notice(kind, subject, detail)));
	}

}
