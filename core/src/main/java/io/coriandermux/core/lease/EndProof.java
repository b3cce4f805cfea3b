package io.coriandermux.core.lease;

/**
 * How a guard knows that a run is not active and can no longer start.
 */
enum EndProof {

	/** The endpoint refused the start order, or the order was not sent. */
	START_ANSWER("the answer to the start order"),

	/** The endpoint listed the end of the run. */
	LISTED_END("the end is listed by the endpoint"),

	/**
	 * The endpoint did not list the run in its answer to a poll that was sent after the
	 * last order for the run was answered.
	 */
	ABSENT("absent from the answer to a conclusive poll"),

	/** A new incarnation of the endpoint has started. */
	NEW_INCARNATION("a new incarnation of the endpoint"),

	/**
	 * The endpoint refuses connections after its lease has expired, and no order can be
	 * carried out late any more.
	 */
	UNREACHABLE("no connection to the endpoint can be opened and its lease has expired"),

	/** Every lease that the guard has granted counts as expired. */
	LEASE_EXPIRED("the lease counts as expired, without an answer of the endpoint");

	private final String description;

	EndProof(String description) {
		this.description = description;
	}

	@Override
	public String toString() {
		return this.description;
	}

}
