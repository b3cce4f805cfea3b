package io.coriandermux.core.run;

/**
 * How a run ended, as a guard reports it to the entry that requested it. After each of
 * these outcomes the run is not running and will never start.
 */
public enum RunOutcome {

	/** The task completed its work. */
	DONE,

	/** The task failed because of an error of its own or of the endpoint. */
	FAILED,

	/** The guard stopped the task. */
	STOPPED,

	/** The lease of the endpoint expired and the endpoint ended the task. */
	LAPSED,

	/** The task did not start, and a delayed start order has no effect. */
	NOT_STARTED,

	/** The endpoint does not have enough free capacity for the task. */
	NO_ROOM,

	/** The endpoint does not accept work at present. */
	UNHEALTHY,

	/** The endpoint does not support tasks of this kind. */
	INVALID,

	/** A run of the same task with this or a higher attempt number has already ended. */
	SUPERSEDED,

	/** The task was stopped because it made no progress. */
	STALLED,

	/** The endpoint was lost together with its runs. */
	ENDPOINT_LOST,

	/**
	 * Another entry has claimed the batch of the task, so the run was not started or was
	 * stopped.
	 */
	CLAIMED

}
