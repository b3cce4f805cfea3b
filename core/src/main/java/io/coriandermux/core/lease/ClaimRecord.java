package io.coriandermux.core.lease;

import java.util.Optional;

import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.message.BatchClaim;
import io.coriandermux.core.message.BatchHolder;
import io.coriandermux.core.run.BatchId;

/**
 * The claim of a batch by one entry at a guard.
 */
final class ClaimRecord {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final BatchId batch;

	private EntryIncarnation owner;

	private long number;

	private long claimedNanos;

	private long keepNanos;

	private long keptUntilNanos;

	private Optional<TakeOverRank> takeOver = Optional.empty();

	ClaimRecord(BatchId batch, EntryIncarnation owner, long nowNanos) {
		this.batch = batch;
		this.owner = owner;
		this.claimedNanos = nowNanos;
		this.keptUntilNanos = nowNanos;
	}

	BatchId batch() {
		return this.batch;
	}

	EntryIncarnation owner() {
		return this.owner;
	}

	long number() {
		return this.number;
	}

	/**
	 * Returns the last take-over of the batch. Earlier ones may still arrive, also after
	 * the claim has been replaced.
	 * @return the take-over, empty if there was none
	 */
	Optional<TakeOverRank> takeOver() {
		return this.takeOver;
	}

	BatchHolder holder(long nowNanos) {
		return new BatchHolder(new BatchClaim(this.owner, this.number),
				(nowNanos - this.claimedNanos) / NANOS_PER_MILLI);
	}

	boolean hasRank(TakeOverRank rank) {
		return this.takeOver.filter(rank::equals).isPresent();
	}

	/**
	 * Returns whether a take-over is in force or may come into force.
	 * @param rank the take-over
	 * @return false if a later one has been requested, or if its entry no longer has the
	 * claim
	 */
	boolean permits(TakeOverRank rank) {
		if (hasRank(rank)) {
			return this.owner.equals(rank.entry());
		}
		return this.takeOver.filter((last) -> last.compareTo(rank) > 0).isEmpty();
	}

	/**
	 * Returns whether a claim replaces this one.
	 * @param replaced the claim that is to be replaced
	 * @return whether this is the same claim or an earlier one of the same entry
	 */
	boolean isCoveredBy(BatchClaim replaced) {
		return this.owner.equals(replaced.entry()) && this.number <= replaced.number();
	}

	void grant(BatchClaim next, long nowNanos, long keep) {
		boolean repeated = this.owner.equals(next.entry()) && next.number() <= this.number;
		if (!repeated) {
			this.owner = next.entry();
			this.number = next.number();
			this.claimedNanos = nowNanos;
		}
		renew(nowNanos, keep);
	}

	void takeOver(TakeOverRank rank, long nowNanos, long keep) {
		this.takeOver = Optional.of(rank);
		grant(new BatchClaim(rank.entry(), rank.number()), nowNanos, keep);
	}

	void renew(long nowNanos) {
		this.keptUntilNanos = Math.max(this.keptUntilNanos, nowNanos + this.keepNanos);
	}

	void renew(long nowNanos, long keep) {
		this.keepNanos = keep;
		renew(nowNanos);
	}

	boolean isExpired(long nowNanos) {
		return nowNanos >= this.keptUntilNanos;
	}

}
