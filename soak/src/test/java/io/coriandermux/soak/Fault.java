package io.coriandermux.soak;

/**
 * A fault of a run.
 *
 * @param atMillis when it begins, counted from the begin of the faults
 * @param kind what happens
 * @param target number that chooses the process, endpoint or link
 * @param forMillis how long it lasts
 */
record Fault(long atMillis, Kind kind, int target, long forMillis) {

	/** Kind of a fault; planned work must not harm requests in progress. */
	enum Kind {

		/** An entry is killed and starts again. */
		KILL_ENTRY,

		/** A guard is killed and starts again. */
		KILL_GUARD,

		/** An entry is paused. */
		PAUSE_ENTRY,

		/** A guard is paused. */
		PAUSE_GUARD,

		/** An entry is asked to end and starts again. */
		STOP_ENTRY,

		/** A guard is asked to end and starts again. */
		STOP_GUARD,

		/** A process is told that its settings have changed. */
		HANG_UP,

		/** An endpoint loses everything and comes back in a new life. */
		CRASH_ENDPOINT,

		/** An endpoint drains, leaves, and a new life comes. */
		DRAIN_ENDPOINT,

		/** An endpoint carries out orders late and does not answer them. */
		LATE_ORDERS,

		/** Connections through a link are reset. */
		RESET_LINK,

		/** Connections through a link are delayed, cut one way, or silenced. */
		HARM_LINK,

		/** The store is down, silent, slow, or loses answers. */
		STORE,

		/** The operator changes the configuration. */
		CONFIGURE;

		boolean isPlanned() {
			return this == STOP_ENTRY || this == STOP_GUARD || this == HANG_UP || this == CONFIGURE
					|| this == DRAIN_ENDPOINT;
		}

	}

}
