package io.coriandermux.core.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

import io.coriandermux.core.home.TimingLimits;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.table.Pool;

/**
 * The home lease of this entry: held for a pool while a majority of its listed or linked
 * guards has acknowledged a recent heartbeat of this entry.
 */
final class HomeLease {

	private final EntryContext context;

	private final GuardRegistry guards;

	/**
	 * Cached time of the newest heartbeat that a majority of the pool's guards has
	 * acknowledged. While the set of guards is the same this time only increases, so it
	 * is computed again only when it is too old.
	 */
	private final Map<Pool, Long> acknowledgedNanos = new LinkedHashMap<>();

	private long cachedVersion;

	HomeLease(EntryContext context, GuardRegistry guards) {
		this.context = context;
		this.guards = guards;
	}

	// Whether tasks may be placed in the pool.
	boolean isHeld(Pool pool) {
		return isAcknowledgedWithin(pool, TimingLimits.LEASE_NANOS, false);
	}

	// Whether the lease is held for every pool that is open to the owner. A pool
	// without guards counts as held.
	boolean isHeld(OwnerId owner) {
		return isAcknowledgedWithin(owner, TimingLimits.LEASE_NANOS);
	}

	// Whether the last confirmation is so recent that no other home can have been
	// confirmed since.
	boolean isConfirmed(OwnerId owner) {
		return isAcknowledgedWithin(owner, TimingLimits.MAX_CONFIRMATION_AGE_NANOS);
	}

	private boolean isAcknowledgedWithin(OwnerId owner, long maxAgeNanos) {
		return this.context.pools()
			.poolsOpenTo(owner)
			.stream()
			.allMatch((pool) -> isAcknowledgedWithin(pool, maxAgeNanos, true));
	}

	private boolean isAcknowledgedWithin(Pool pool, long maxAgeNanos, boolean resultWithoutGuards) {
		if (this.cachedVersion != this.guards.guardSetVersion()) {
			this.cachedVersion = this.guards.guardSetVersion();
			this.acknowledgedNanos.clear();
		}
		Long cached = this.acknowledgedNanos.get(pool);
		if (cached != null && this.context.isConfirmationValid(cached, maxAgeNanos)) {
			return true;
		}
		if (this.guards.memberCount(pool) == 0) {
			return resultWithoutGuards;
		}
		OptionalLong majority = this.guards.majorityAcknowledgedNanos(pool);
		majority.ifPresent((time) -> this.acknowledgedNanos.put(pool, time));
		return majority.isPresent() && this.context.isConfirmationValid(majority.getAsLong(), maxAgeNanos);
	}

}
