package io.coriandermux.core.dispatch;

import java.util.function.ToDoubleFunction;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.GuardId;

/**
 * Ranks endpoints by rendezvous hashing, in an order that differs between entries. The
 * rank depends only on the ids of entry and guard, so it survives a restart of the entry.
 */
final class EndpointPreference implements ToDoubleFunction<GuardId> {

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
		return (HashMixer.hash(this.entry.value(), guard.value()) >>> UNUSED_BITS) / RANGE;
	}

}
