package io.coriandermux.core.reply;

import io.coriandermux.core.api.CallerRequest;

/**
 * A request that has not been replied to yet.
 *
 * @param requester the receiver of the reply
 * @param request the request
 * @param arrivedNanos when the request arrived, on the monotonic clock
 * @param outcomeDeadlineNanos deadline of the caller's wait for the outcome of the job,
 * on the monotonic clock
 * @param homeDeadlineNanos deadline of the wait for the home of the job, on the monotonic
 * clock: later than {@code outcomeDeadlineNanos} by the maximum transfer time of the
 * reply of the home, so that a caller that does not wait for the outcome also receives a
 * reply
 */
public record PendingRequest(Requester requester, CallerRequest request, long arrivedNanos, long outcomeDeadlineNanos,
		long homeDeadlineNanos) {

}
