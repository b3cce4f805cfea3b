package io.coriandermux.core.dispatch;

import java.util.function.ToDoubleFunction;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.GuardId;

/**
 * Ranks endpoints by rendezvous hashing, in an order that differs between entries. The
 * rank depends only on the ids of entry and guard, so it survives a restart of the entry.
 */
final class EndpointPreference implements ToDoubleFunction<GuardId> {

	/** Golden ratio in 64 bits, the increment of SplitMix64. */
	private static final long STEP = 0x9E3779B97F4A7C15L;

	/** Multipliers of the finalizer of SplitMix64. */
	private static final long FIRST_FACTOR = 0xBF58476D1CE4E5B9L;

	private static final long SECOND_FACTOR = 0x94D049BB133111EBL;

	private static final int FIRST_SHIFT = 30;

	private static final int SECOND_SHIFT = 27;

	private static final int THIRD_SHIFT = 31;

	/** Leaves the 53 bits of precision of a double. */
	private static final int UNUSED_BITS = 11;

	private static final double RANGE = 0x1.0p53;

	private final EntryId entry;

	/**
	 * Creates the ranking of an entry.
	 * @param entry the entry
	 */
	EndpointPreference(EntryId entry) {
		this.entry = entry;
	}

	@Override
	public double applyAsDouble(GuardId guard) {
		// Implemented here because loading the classes of a hash library delays each
		// start.
		long hash = this.entry.value().hashCode() * STEP + guard.value().hashCode();
		hash = (hash ^ (hash >>> FIRST_SHIFT)) * FIRST_FACTOR;
		hash = (hash ^ (hash >>> SECOND_SHIFT)) * SECOND_FACTOR;
		hash ^= hash >>> THIRD_SHIFT;
		return (hash >>> UNUSED_BITS) / RANGE;
	}

}
