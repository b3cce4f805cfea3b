package io.coriandermux.core.api;

/**
 * Stable code of a reply. The wire form is the lower-case name.
 */
public enum ReplyCode {

	/** The job is complete. */
	OK,

	/** An endpoint reported an error for a task, or its connection failed. */
	ENDPOINT_FAILED,

	/** A task exceeded its time limit. */
	TIME_LIMIT,

	/** The owner cancelled the job. */
	CANCELLED,

	/** The deadline cannot be met or has passed. */
	DEADLINE,

	/** The queue is full, or the predicted wait exceeds its limit. */
	OVERLOADED,

	/** The owner's quota is used up. */
	QUOTA,

	/** No route of the owner matches the path of a task. */
	NO_ROUTE,

	/** No endpoint of the pool is large enough. */
	IMPOSSIBLE,

	/** The pool has no live endpoint. */
	NO_ENDPOINT,

	/** The job id is older than the retention period. */
	ID_EXPIRED,

	/** The creation time is in the future. */
	CLOCK_SKEW,

	/** The job id is already used for a job with different tasks. */
	ID_CONFLICT,

	/** The guard that may have started a task is lost. */
	GUARD_LOST,

	/** The previous home of the job is lost and a guard has not answered. */
	HOME_LOST,

	/** The home of the job is unreachable. */
	HOME_UNAVAILABLE,

	/** The home lease has expired. */
	HOME_UNCONFIRMED,

	/** The job has ended, but an answer was dropped to stay within a byte limit. */
	ANSWER_DROPPED,

	/** The entry holds its maximum number of jobs. */
	ENTRY_FULL,

	/** The entry is shutting down. */
	SHUTTING_DOWN,

	/** No such job is known. */
	UNKNOWN_JOB,

	/** The request is malformed. */
	BAD_REQUEST,

	/** No configuration is in force yet. */
	NO_CONFIGURATION

}
