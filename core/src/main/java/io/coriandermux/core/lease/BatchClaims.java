package io.coriandermux.core.lease;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.message.BatchClaim;
import io.coriandermux.core.message.BatchHolder;
import io.coriandermux.core.message.ClaimAnswer;
import io.coriandermux.core.message.ClaimBatch;
import io.coriandermux.core.message.TakeOverAnswer;
import io.coriandermux.core.message.TakeOverBatch;
import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.run.BatchId;
import io.coriandermux.core.run.RunOutcome;

/**
 * The claims of batches at a guard. While a claim is in force, or runs of a batch are
 * held, no other entry may start runs of the batch here. An entry that is granted the
 * claim of a batch by a majority of the guards that keep it is therefore the only one.
 */
final class BatchClaims {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/**
	 * A guard that has run for a shorter time may not know a claim of a batch in
	 * progress, which its previous incarnation has granted. Batches end and late orders
	 * are carried out within this time.
	 */
	static final long COMPLETE_AFTER_MILLIS = 15_000;

	/** Limits the time for which a message of an entry occupies memory. */
	static final long MAX_KEEP_MILLIS = 600_000;

	/**
	 * The claims of 14 s if this guard keeps those of all batches of a large site, 1,100
	 * per second.
	 */
	static final int MAX_CLAIMS = 16_384;

	private static final long PURGE_INTERVAL_NANOS = 1_000 * NANOS_PER_MILLI;

	private final RunTable runs;

	private final EntryChannel entries;

	private final BooleanSupplier settled;

	private final Consumer<Notice> notices;

	private final Map<BatchId, ClaimRecord> claims = new LinkedHashMap<>();

	private final Map<BatchId, ClaimRecord> pendingTakeOvers = new LinkedHashMap<>();

	private boolean started;

	private long startedNanos;

	private long purgedNanos;

	/**
	 * Creates a table without claims.
	 * @param runs the runs that the guard holds
	 * @param entries sends the answers
	 * @param settled supplies whether no run of a previous guard can be active
	 * @param notices receives notices for operators
	 */
	BatchClaims(RunTable runs, EntryChannel entries, BooleanSupplier settled, Consumer<Notice> notices) {
		this.runs = runs;
		this.entries = entries;
		this.settled = settled;
		this.notices = notices;
	}

	/**
	 * Processes a claim.
	 * @param sender the entry
	 * @param message the claim
	 * @param nowNanos the current time on the monotonic clock
	 */
	void claim(EntryIncarnation sender, ClaimBatch message, long nowNanos) {
		BatchId batch = message.batch();
		Optional<BatchHolder> holder = findHolder(sender, batch, message.replaced(), nowNanos);
		boolean complete = isComplete(nowNanos);
		if (holder.isPresent()) {
			send(NoticeKind.CLAIM_DENIED, batch, "of " + describe(sender) + ", " + describe(holder.get()));
		}
		else {
			Optional<ClaimRecord> claim = findOrAdd(batch, sender, nowNanos);
			claim.ifPresent((found) -> {
				denyOvertaken(found, sender);
				found.grant(new BatchClaim(sender, message.number()), nowNanos, keepNanos(message.keepMillis()));
			});
			complete = complete && claim.isPresent();
		}
		this.entries.send(sender.entry(), new ClaimAnswer(batch, message.number(), complete, holder));
	}

	/**
	 * Processes a take-over. It is answered when no run of another entry is left.
	 * @param sender the entry
	 * @param message the take-over
	 * @param nowNanos the current time on the monotonic clock
	 */
	void takeOver(EntryIncarnation sender, TakeOverBatch message, long nowNanos) {
		BatchId batch = message.batch();
		TakeOverRank rank = new TakeOverRank(message.number(), sender);
		Optional<BatchHolder> holder = findHolder(sender, batch, Optional.empty(), nowNanos);
		Optional<ClaimRecord> found = findOrAdd(batch, sender, nowNanos);
		if (found.isEmpty() || !found.get().permits(rank)) {
			send(NoticeKind.BATCH_TAKE_OVER_DENIED, batch, describe(rank) + ", "
					+ holder.map(BatchClaims::describe).orElse(found.isEmpty() ? "too many claims" : "out of date"));
			answer(batch, rank, false);
			return;
		}
		ClaimRecord claim = found.get();
		List<HeldRun> others = this.runs.listOfOthers(batch, sender);
		if (claim.hasRank(rank)) {
			claim.renew(nowNanos, keepNanos(message.keepMillis()));
		}
		else {
			send(NoticeKind.BATCH_TAKE_OVER_REQUESTED, batch,
					describe(rank) + ", " + holder.map(BatchClaims::describe).orElse("not held by another entry") + ", "
							+ others.size() + " runs to stop");
			denyOvertaken(claim, sender);
			claim.takeOver(rank, nowNanos, keepNanos(message.keepMillis()));
		}
		others.forEach((held) -> this.runs.stop(held, RunOutcome.CLAIMED, StopCause.TAKEN_OVER, nowNanos));
		this.pendingTakeOvers.put(batch, claim);
		answerTakeOvers(nowNanos);
	}

	private void denyOvertaken(ClaimRecord claim, EntryIncarnation next) {
		if (claim.owner().equals(next) || this.pendingTakeOvers.remove(claim.batch()) == null) {
			return;
		}
		claim.takeOver().ifPresent((overtaken) -> {
			send(NoticeKind.BATCH_TAKE_OVER_DENIED, claim.batch(),
					describe(overtaken) + ", overtaken by " + describe(next));
			answer(claim.batch(), overtaken, false);
		});
	}

	/**
	 * Grants the take-overs of batches of which no run of another entry is active or can
	 * start. While the endpoint does not answer, the guard is not settled, but the runs
	 * of previous guards have ended when it has run for long enough.
	 * @param nowNanos the current time on the monotonic clock
	 */
	void answerTakeOvers(long nowNanos) {
		if (this.runs.hasUnknownRun() || !(this.settled.getAsBoolean() || isComplete(nowNanos))) {
			return;
		}
		List<ClaimRecord> ready = this.pendingTakeOvers.values()
			.stream()
			.filter((claim) -> this.runs.listOfOthers(claim.batch(), claim.owner()).isEmpty())
			.toList();
		for (ClaimRecord claim : ready) {
			this.pendingTakeOvers.remove(claim.batch());
			// The runs may have kept the claim beyond its time.
			claim.renew(nowNanos);
			claim.takeOver().ifPresent((rank) -> {
				send(NoticeKind.BATCH_TAKE_OVER_GRANTED, claim.batch(), describe(rank));
				answer(claim.batch(), rank, true);
			});
		}
	}

	/**
	 * Returns the other entry that keeps an entry from starting a run of a batch. If
	 * there is none, a claim of the entry is kept longer.
	 * @param sender the entry that requests the run
	 * @param batch the batch
	 * @param nowNanos the current time on the monotonic clock
	 * @return the other entry, empty if the run may start
	 */
	Optional<BatchHolder> onStartRequested(EntryIncarnation sender, BatchId batch, long nowNanos) {
		Optional<BatchHolder> holder = findHolder(sender, batch, Optional.empty(), nowNanos);
		if (holder.isEmpty()) {
			find(batch, nowNanos).ifPresent((claim) -> claim.renew(nowNanos));
		}
		return holder;
	}

	/**
	 * Describes the claim of a batch for operators. A guard that keeps no claims of the
	 * batch has none.
	 * @param batch the batch
	 * @param owner the entry that has requested runs of the batch
	 * @return the number of the claim, and its entry if that is another one
	 */
	String describeClaim(BatchId batch, EntryIncarnation owner) {
		ClaimRecord claim = this.claims.get(batch);
		if (claim == null) {
			return "no claim here";
		}
		return "claim " + claim.number() + (claim.owner().equals(owner) ? "" : " of " + describe(claim.owner()));
	}

	/**
	 * Drops the unanswered take-overs of an entry that is lost. Its claims stay in force.
	 * @param entry the entry
	 */
	void onEntryLost(EntryId entry) {
		this.pendingTakeOvers.values().removeIf((claim) -> claim.owner().entry().equals(entry));
	}

	/**
	 * Performs the periodic work.
	 * @param nowNanos the current time on the monotonic clock
	 */
	void tick(long nowNanos) {
		recordStart(nowNanos);
		answerTakeOvers(nowNanos);
		if (nowNanos - this.purgedNanos < PURGE_INTERVAL_NANOS) {
			return;
		}
		this.purgedNanos = nowNanos;
		for (Iterator<ClaimRecord> all = this.claims.values().iterator(); all.hasNext();) {
			ClaimRecord claim = all.next();
			if (isForgotten(claim, nowNanos)) {
				this.pendingTakeOvers.remove(claim.batch());
				all.remove();
			}
		}
	}

	int size() {
		return this.claims.size();
	}

	private Optional<BatchHolder> findHolder(EntryIncarnation sender, BatchId batch, Optional<BatchClaim> replaced,
			long nowNanos) {
		Optional<ClaimRecord> claim = find(batch, nowNanos).filter((found) -> !found.owner().equals(sender))
			.filter((found) -> replaced.filter(found::isCoveredBy).isEmpty());
		if (claim.isPresent()) {
			return claim.map((found) -> found.holder(nowNanos));
		}
		// The runs are listed in the order in which they were requested.
		return this.runs.listOfOthers(batch, sender)
			.stream()
			.findFirst()
			.map((held) -> new BatchHolder(claimOf(held, nowNanos),
					(nowNanos - held.requestedNanos) / NANOS_PER_MILLI));
	}

	private BatchClaim claimOf(HeldRun held, long nowNanos) {
		return find(held.run.batch(), nowNanos).filter((claim) -> claim.owner().equals(held.owner))
			.map((claim) -> claim.holder(nowNanos).claim())
			.orElseGet(() -> new BatchClaim(held.owner, 0));
	}

	private Optional<ClaimRecord> find(BatchId batch, long nowNanos) {
		return Optional.ofNullable(this.claims.get(batch)).filter((claim) -> !isForgotten(claim, nowNanos));
	}

	private Optional<ClaimRecord> findOrAdd(BatchId batch, EntryIncarnation owner, long nowNanos) {
		Optional<ClaimRecord> found = find(batch, nowNanos);
		if (found.isPresent()) {
			return found;
		}
		if (this.claims.size() >= MAX_CLAIMS && !this.claims.containsKey(batch)) {
			return Optional.empty();
		}
		ClaimRecord added = new ClaimRecord(batch, owner, nowNanos);
		this.claims.put(batch, added);
		this.pendingTakeOvers.remove(batch);
		return Optional.of(added);
	}

	private boolean isForgotten(ClaimRecord claim, long nowNanos) {
		return claim.isExpired(nowNanos) && !this.runs.holdsBatch(claim.batch());
	}

	private boolean isComplete(long nowNanos) {
		recordStart(nowNanos);
		return nowNanos - this.startedNanos >= COMPLETE_AFTER_MILLIS * NANOS_PER_MILLI;
	}

	private void recordStart(long nowNanos) {
		if (!this.started) {
			this.started = true;
			this.startedNanos = nowNanos;
		}
	}

	private static long keepNanos(long millis) {
		return Math.max(0, Math.min(millis, MAX_KEEP_MILLIS)) * NANOS_PER_MILLI;
	}

	private void answer(BatchId batch, TakeOverRank rank, boolean granted) {
		this.entries.send(rank.entry().entry(), new TakeOverAnswer(batch, rank.number(), granted));
	}

	private static String describe(TakeOverRank rank) {
		return "number " + rank.number() + " of " + describe(rank.entry());
	}

	private static String describe(BatchHolder holder) {
		return "held by " + describe(holder.claim().entry()) + " for " + holder.ageMillis() + " ms";
	}

	private static String describe(EntryIncarnation entry) {
		return entry.entry() + " incarnation " + entry.incarnation().value();
	}

	private void send(NoticeKind kind, BatchId batch, String detail) {
		this.notices.accept(new Notice(kind, batch.toString(), detail));
	}

}
