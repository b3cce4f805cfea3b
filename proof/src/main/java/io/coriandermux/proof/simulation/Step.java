package io.coriandermux.proof.simulation;

/**
 * Steps of a job and of an edit at which a fault can be injected.
 */
public enum Step {

	/** An entry receives the caller's request. */
	SUBMIT,
	/** An entry forwards the request to the home. */
	FORWARD,
	/** The home has accepted the job. */
	ADMIT,
	/** The job's tasks are queued at the home. */
	QUEUE,
	/** The home is about to send a task to a guard. */
	PLACE,
	/** A guard receives the message that starts a task. */
	START,
	/** The endpoint has received the task. */
	RUN,
	/** The guard is about to send the answer. */
	ANSWER,
	/** The home is about to reply. */
	REPLY,
	/** The caller resubmits the job. */
	RESUBMIT,
	/** An operator reads the document. */
	READ,
	/** An operator writes the document. */
	WRITE,
	/** The store notifies a process of the write. */
	WATCH,
	/** An entry is about to apply the tables. */
	APPLY;

	/**
	 * Returns whether this is a step of a job.
	 * @return whether it is a step of a job, false for the steps of an edit
	 */
	public boolean isJobStep() {
		return compareTo(READ) < 0;
	}

}
