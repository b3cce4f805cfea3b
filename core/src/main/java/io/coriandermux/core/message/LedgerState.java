package io.coriandermux.core.message;

/**
 * State of a task in a guard's ledger.
 */
public enum LedgerState {

	/** The task was sent to the endpoint and has not ended. */
	STARTED,

	/** The endpoint reported success. */
	FINISHED,

	/**
	 * The endpoint reported an error, the time limit was exceeded, or the connection
	 * failed.
	 */
	FAILED,

	/** The task was aborted by a cancellation. */
	CANCELLED

}
