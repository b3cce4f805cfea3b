package io.coriandermux.daemon.batch;

import java.util.Optional;
import java.util.OptionalLong;

import io.coriandermux.core.lease.OrderResult;
import io.coriandermux.core.lease.Poll;
import io.coriandermux.core.lease.PollAnswer;
import io.coriandermux.core.run.RunId;

/**
 * Receives the answers to the orders of a guard.
 */
public interface OrderAnswerListener {

	/**
	 * Processes the result of a start order.
	 * @param run the run
	 * @param result result of the order
	 * @param clockMillis the endpoint's clock, empty if it did not answer
	 */
	void onStartAnswered(RunId run, OrderResult result, OptionalLong clockMillis);

	/**
	 * Processes the result of a stop order.
	 * @param run the run
	 * @param result result of the order
	 * @param clockMillis the endpoint's clock, empty if it did not answer
	 */
	void onStopAnswered(RunId run, OrderResult result, OptionalLong clockMillis);

	/**
	 * Processes the result of a poll.
	 * @param poll the poll
	 * @param result result of the poll
	 * @param answer the answer, empty if there was none
	 */
	void onPollAnswered(Poll poll, OrderResult result, Optional<PollAnswer> answer);

}
