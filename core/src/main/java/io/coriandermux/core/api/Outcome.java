package io.coriandermux.core.api;

/**
 * What is known about the execution of a job or task.
 */
public enum Outcome {

	/** Every task was answered. */
	COMPLETE,

	/** At least one task failed; the answers of the others are withheld. */
	FAILED,

	/** No task started, and none will start because of this submission. */
	NOT_RUN,

	/** A task may have started; it is not started again. */
	OUTCOME_UNKNOWN,

	/**
	 * The request could not be decided; no statement is made about whether a task has
	 * run.
	 */
	UNDECIDED

}
