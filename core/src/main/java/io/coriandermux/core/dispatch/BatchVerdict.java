package io.coriandermux.core.dispatch;

/**
 * Result of a caller's request about a batch.
 */
public enum BatchVerdict {

	/** All tasks are done. */
	COMPLETED,

	/** The batch has failed and is not retried. */
	FAILED,

	/**
	 * No task has run or will run because the pool cannot serve the batch in time.
	 */
	OVERLOADED,

	/** No task has run or will run because this entry cannot serve the batch. */
	UNAVAILABLE,

	/** No task has run or will run because no route matches the request. */
	NO_ROUTE,

	/** The request is malformed; no task has run or will run. */
	MALFORMED,

	/** Tasks were started, but the batch ended before all were done. */
	UNFINISHED,

	/** The batch is waiting or running. */
	RUNNING,

	/** The batch is waiting, and none of its tasks has started. */
	QUEUED,

	/** The batch was cancelled. */
	CANCELLED,

	/** This entry has no such batch in progress. */
	UNKNOWN

}
