package io.coriandermux.core.lease;

import io.coriandermux.core.run.RunId;

/**
 * Sends orders to the endpoint. Each order leads to exactly one callback of the
 * {@link LeaseManager}, even if the endpoint does not answer.
 */
public interface EndpointOrders {

	/**
	 * Orders the endpoint to start a run. The result is passed to
	 * {@code LeaseManager.onStartAnswered}.
	 * @param lease the lease that authorizes the order
	 * @param run the run
	 * @param spec description of the task for the endpoint
	 */
	void start(LeaseTerms lease, RunId run, String spec);

	/**
	 * Orders the endpoint to stop a run. The result is passed to
	 * {@code LeaseManager.onStopAnswered}.
	 * @param lease the lease that authorizes the order
	 * @param run the run
	 */
	void stop(LeaseTerms lease, RunId run);

	/**
	 * Requests the active and the ended runs. The result is passed to
	 * {@code LeaseManager.onPollAnswered}.
	 * @param lease the lease that the poll renews
	 * @param poll the poll
	 */
	void poll(LeaseTerms lease, Poll poll);

}
