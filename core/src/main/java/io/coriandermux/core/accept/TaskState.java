package io.coriandermux.core.accept;

/**
 * State of a task at its home.
 */
public enum TaskState {

	/** The task waits in a queue of the scheduler. */
	QUEUED,
	/** A {@code Start} was sent, or the task runs according to a guard's ledger. */
	RUNNING,
	/** The task has an outcome. */
	ENDED

}
