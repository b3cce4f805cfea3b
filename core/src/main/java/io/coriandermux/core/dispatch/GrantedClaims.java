package io.coriandermux.core.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import io.coriandermux.core.message.BatchClaim;
import io.coriandermux.core.message.BatchHolder;
import io.coriandermux.core.run.BatchId;

/**
 * The claims that this entry has granted to other entries. Until a claim is forgotten,
 * this entry starts no run of the batch without its release or a take-over.
 */
final class GrantedClaims {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/** Limits the time for which a message of an entry occupies memory. */
	private static final long MAX_KEEP_MILLIS = 600_000;

	private static final int MAX_CLAIMS = 16_384;

	private final Map<BatchId, Grant> grants = new LinkedHashMap<>();

	/**
	 * Returns the entry that has claimed a batch.
	 * @param batch the batch
	 * @param nowNanos the current time on the monotonic clock
	 * @return the claim and its age, empty if there is none
	 */
	Optional<BatchHolder> holder(BatchId batch, long nowNanos) {
		return Optional.ofNullable(this.grants.get(batch))
			.filter((grant) -> nowNanos < grant.untilNanos())
			.map((grant) -> new BatchHolder(grant.claim(), (nowNanos - grant.sinceNanos()) / NANOS_PER_MILLI));
	}

	/**
	 * Grants a claim, in place of any other one.
	 * @param batch the batch
	 * @param claim the claim
	 * @param keepMillis time for which it is kept, in milliseconds
	 * @param nowNanos the current time on the monotonic clock
	 * @return whether there was room for it
	 */
	boolean grant(BatchId batch, BatchClaim claim, long keepMillis, long nowNanos) {
		if (this.grants.size() >= MAX_CLAIMS && !this.grants.containsKey(batch)) {
			return false;
		}
		long keepNanos = Math.max(0, Math.min(keepMillis, MAX_KEEP_MILLIS)) * NANOS_PER_MILLI;
		this.grants.put(batch, new Grant(claim, nowNanos, nowNanos + keepNanos));
		return true;
	}

	void remove(BatchId batch) {
		this.grants.remove(batch);
	}

	void expire(long nowNanos) {
		this.grants.values().removeIf((grant) -> nowNanos >= grant.untilNanos());
	}

	/**
	 * A claim of another entry.
	 *
	 * @param claim the claim
	 * @param sinceNanos time of the claim on the monotonic clock
	 * @param untilNanos time on the monotonic clock until which it is kept
	 */
	private record Grant(BatchClaim claim, long sinceNanos, long untilNanos) {

	}

}
