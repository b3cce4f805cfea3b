package io.coriandermux.core.lease;

/**
 * Result of an order to an endpoint.
 */
public enum OrderResult {

	/** The endpoint carried out the order. */
	ACCEPTED,

	/** The endpoint does not have enough free capacity for the run. */
	NO_ROOM,

	/** This run or a later one has already ended or was stopped at the endpoint. */
	SUPERSEDED,

	/** The lease in the order has expired on the endpoint's clock. */
	LEASE_PASSED,

	/** The endpoint has received a higher fencing token. */
	FENCED,

	/** The endpoint does not accept work at present and has not acted on the order. */
	UNHEALTHY,

	/** The endpoint does not support tasks of this kind. */
	INVALID,

	/** Another incarnation of the endpoint answered and has not acted on the order. */
	OTHER_LIFE,

	/** The order was not sent. */
	NOT_SENT,

	/** There was no answer; the order may take effect now or later. */
	UNANSWERED

}
