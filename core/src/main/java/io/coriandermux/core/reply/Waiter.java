package io.coriandermux.core.reply;

import io.coriandermux.core.api.CallerRequest;

/**
 * A request that waits for its reply.
 *
 * @param requester who waits
 * @param request the request
 * @param arrivedNanos when the request arrived, on the monotonic clock
 * @param untilNanos when the caller's wait for the outcome of the job ends, on the
 * monotonic clock
 * @param decideByNanos when the wait for the home of the job ends. It is later than the
 * former by the time that a reply of the home may travel, and gives a caller that waits
 * for no outcome a reply at all
 */
public record Waiter(Requester requester, CallerRequest request, long arrivedNanos, long untilNanos,
		long decideByNanos) {

}
