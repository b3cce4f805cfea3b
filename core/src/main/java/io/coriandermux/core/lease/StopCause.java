package io.coriandermux.core.lease;

/**
 * Why a guard stops a run.
 */
enum StopCause {

	/** The entry has requested the stop. */
	REQUESTED("requested by the entry"),

	/** The entry of the run is lost. */
	ENTRY_LOST("the entry is lost"),

	/** The entry did not confirm its session in time. */
	SESSION_EXPIRED("session not confirmed in time"),

	/** The entry did not list the run when it connected again. */
	NOT_LISTED("not listed by the entry that connected again"),

	/** The start order was not answered, and a poll did not list the run. */
	START_UNANSWERED("the start order was not answered"),

	/** A start order may have reached a new incarnation of the endpoint. */
	NEW_INCARNATION("the start order may have reached the new incarnation of the endpoint"),

	/** Another entry has taken the batch of the run over. */
	TAKEN_OVER("another entry has taken the batch over"),

	/** The run makes no progress. */
	STALLED("no progress");

	private final String description;

	StopCause(String description) {
		this.description = description;
	}

	@Override
	public String toString() {
		return this.description;
	}

}
