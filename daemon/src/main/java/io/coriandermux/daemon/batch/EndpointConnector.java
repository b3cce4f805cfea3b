package io.coriandermux.daemon.batch;

import io.coriandermux.core.lease.EndpointOrders;

/**
 * Creates the connection between a guard and its endpoint.
 */
@FunctionalInterface
public interface EndpointConnector {

	/**
	 * Connects to the endpoint.
	 * @param answerListener receives the answers to the orders, on any thread
	 * @return sends the orders
	 */
	EndpointOrders connect(OrderAnswerListener answerListener);

}
