package io.coriandermux.soak;

/**
 * A fault that is injected during a run.
 *
 * @param atMillis the start of the fault in milliseconds after the start of all faults
 * @param kind the kind of the fault
 * @param target a random number that selects the process, endpoint, link or mode
 * @param forMillis the duration of the fault in milliseconds
 */
record Fault(long atMillis, Kind kind, int target, long forMillis) {

	/** Kind of a fault. Planned operations must not fail requests in progress. */
	enum Kind {

		/** An entry is killed and restarted. */
		KILL_ENTRY,

		/** A guard is killed and restarted. */
		KILL_GUARD,

		/** An entry is paused and resumed. */
		PAUSE_ENTRY,

		/** A guard is paused and resumed. */
		PAUSE_GUARD,

		/** An entry is shut down in order and restarted. */
		STOP_ENTRY,

		/** A guard is shut down in order and restarted. */
		STOP_GUARD,

		/** A process receives SIGHUP, as after a change of its settings. */
		HANG_UP,

		/** An endpoint crashes, loses its state, and restarts in a new incarnation. */
		CRASH_ENDPOINT,

		/** An endpoint drains, stops, and restarts in a new incarnation. */
		DRAIN_ENDPOINT,

		/** An endpoint executes some orders late and does not answer them. */
		LATE_ORDERS,

		/** All connections through a link are reset. */
		RESET_LINK,

		/** A link delays its connections or drops bytes in one or both directions. */
		HARM_LINK,

		/** The store is down, does not respond, is slow, or loses answers. */
		STORE,

		/** The configuration is changed. */
		CONFIGURE,

		/**
		 * Connections of callers, between processes and to the store are reset at once.
		 */
		RESET_ALL,

		/** All entries are killed at once and restarted. */
		KILL_ENTRIES,

		/** All entries and guards are killed at once and restarted. */
		KILL_ALL,

		/** Many endpoints execute orders 2 s to 12 s late and do not answer them. */
		LATE_ORDERS_MANY,

		/** Many processes are paused and resumed, several times. */
		PAUSE_MANY,

		/**
		 * Entries and guards are killed and restarted after 0.2 s to 1 s, so that they
		 * are back before their callers, in series and overlapping.
		 */
		RESTART_SOON,

		/**
		 * Connections between callers and entries are reset on one side; the other side
		 * is told at the end of the fault.
		 */
		HALF_OPEN_CALLERS,

		/**
		 * Connections between callers and entries hold bytes and ends in one or both
		 * directions, or are closed late.
		 */
		HARM_CALLERS,

		/** Single entries are paused for 1 s to 3 s, in series and overlapping. */
		PAUSE_LONG,

		/** An entry or a guard is paused, and its connections are reset meanwhile. */
		FREEZE_RESET,

		/**
		 * Links between entries deliver nothing for 2 s to 6 s, and the callers of an
		 * entry give up unnoticed meanwhile.
		 */
		CUT_HALF_OPEN,

		/**
		 * An entry is killed and restarted while the callers of another one, who have
		 * given up unnoticed, come back.
		 */
		RESTART_HALF_OPEN,

		/**
		 * The callers of an entry give up unnoticed, and the entry is paused until they
		 * have come back to other entries.
		 */
		PAUSE_HALF_OPEN,

		/**
		 * Single requests are held until their callers have come back to other entries,
		 * and then delivered to the first one.
		 */
		HOLD_REQUESTS,

		/**
		 * The guard of a run that has just started is paused, cut off from its endpoint,
		 * from the entries in one direction or from the store, restarted or shut down.
		 */
		SILENT_GUARD,

		/**
		 * A heartbeat names an incarnation of an endpoint that does not exist, while runs
		 * that have just started are active there.
		 */
		FOREIGN_HEARTBEAT;

		/** Whether the fault affects many processes or endpoints at once. */
		boolean isWidespread() {
			return compareTo(CONFIGURE) > 0 && !isOnSite();
		}

		/** Whether the fault is one of the sites, which earlier seeds do not have. */
		boolean isOnSite() {
			return compareTo(PAUSE_MANY) > 0;
		}

		/**
		 * Whether seeds of {@code site} draw the fault. The others are played by name
		 * only, so that the plans of earlier seeds stay as they are.
		 */
		boolean isDrawnOnSite() {
			return this != CUT_HALF_OPEN && this != RESTART_HALF_OPEN && this != HOLD_REQUESTS && this != SILENT_GUARD
					&& this != FOREIGN_HEARTBEAT;
		}

		/** Whether the fault needs callers that connect through the balancer. */
		boolean needsBalancer() {
			return this == HALF_OPEN_CALLERS || this == HARM_CALLERS || this == FREEZE_RESET || this == PAUSE_HALF_OPEN
					|| this == CUT_HALF_OPEN || this == RESTART_HALF_OPEN || this == HOLD_REQUESTS;
		}

		boolean isPlanned() {
			return this == STOP_ENTRY || this == STOP_GUARD || this == HANG_UP || this == CONFIGURE
					|| this == DRAIN_ENDPOINT;
		}

	}

}
