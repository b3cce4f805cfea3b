package io.coriandermux.core.slot;

/**
 * Parameters of the allocation of slots to entries.
 *
 * @param recallIntervalNanos minimum interval between two recalls to the same entry in
 * nanoseconds
 */
public record SlotSettings(long recallIntervalNanos) {

	private static final long RECALL_INTERVAL_NANOS = 50_000_000L;

	/**
	 * Returns the default settings.
	 * @return the settings
	 */
	public static SlotSettings defaults() {
		return new SlotSettings(RECALL_INTERVAL_NANOS);
	}

}
