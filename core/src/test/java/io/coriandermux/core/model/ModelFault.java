package io.coriandermux.core.model;

/**
 * Kinds of faults that a model injects.
 */
enum ModelFault {

	/**
	 * Links and the connections of callers break together; links return in 1 to 900 ms.
	 */
	RESET,

	/** The connections of the callers of an entry break. */
	CALLERS_RESET,

	/** A link delivers nothing in one direction. */
	SILENT_LINK,

	/** An entry is killed and started again. */
	ENTRY_RESTART,

	/** A guard is killed and started again. */
	GUARD_RESTART,

	/** An entry stands still, also between a decision and the sending of its messages. */
	ENTRY_PAUSE,

	/** A guard stands still, also between a decision and the sending of its orders. */
	GUARD_PAUSE,

	/** Periodic work of a guard is late; messages are processed in time. */
	LATE_TICK,

	/** Start orders are not answered, and some are carried out 2 to 12 s later. */
	LATE_STARTS,

	/** Orders of all kinds are not answered, and some are carried out 2 to 12 s later. */
	LATE_ORDERS,

	/** The lease of an order that is carried out late counts from that time. */
	LATE_GRANTS,

	/** An endpoint crashes and starts again, under the same id or another one. */
	ENDPOINT_RESTART,

	/** An endpoint answers no order for 0.2 to 2 s. */
	MUTE_ENDPOINT,

	/** The callers of an entry give up, and the entry is not told. */
	HALF_OPEN_CALLERS,

	/**
	 * An entry stands still with unread requests. Callers wait 1.5 s, and entries are
	 * told up to 3 s late that a caller has given up.
	 */
	UNREAD_REQUESTS,

	/** An entry is killed and started again within 1.3 s. */
	QUICK_ENTRY_RESTART,

	/** A link between entries breaks and returns in 1 to 900 ms. */
	ENTRY_LINK_RESET,

	/** A link between entries delivers nothing in one direction. */
	SILENT_ENTRY_LINK,

	/**
	 * Requests to an entry are held on their way for 1.3 to 3.2 s and then count as new.
	 * Callers wait 1.5 s, and the entry is told after the request that its caller has
	 * given up, or never.
	 */
	HELD_REQUESTS

}
