package io.coriandermux.core.model;

/**
 * What strikes a guard right after its endpoint has started a run.
 */
enum GuardFault {

	/** The process stands still. */
	PAUSE,

	/** No order reaches the endpoint. */
	ENDPOINT_CUT,

	/** Orders are carried out by the endpoint, but their answers are lost. */
	ANSWERS_LOST,

	/** Nothing that the guard sends reaches the entries. */
	ENTRIES_HEAR_NOTHING,

	/** Nothing that the entries send reaches the guard. */
	GUARD_HEARS_NOTHING,

	/** The store lists the guard no more, because its lease has ended there. */
	UNLISTED,

	/** The process is killed and started again. */
	RESTART,

	/** The process is asked to end, and is started again when it has ended. */
	STOP,

	/**
	 * Heartbeats name an incarnation of the endpoint that does not exist, with another
	 * id, a later start, or both.
	 */
	FOREIGN_HEARTBEAT

}
