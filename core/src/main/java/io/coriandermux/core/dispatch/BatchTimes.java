package io.coriandermux.core.dispatch;

/**
 * Times of a batch on the monotonic clock, in nanoseconds.
 *
 * @param arrivedNanos arrival time
 * @param deadlineNanos time at which the batch is answered as unfinished, shortly before
 * its caller stops waiting
 * @param latestStartNanos latest start of the tasks at the fastest accepting endpoint
 * with which the batch meets the objective of its route
 * @param lastUsefulStartNanos latest start of the tasks there with which the answer is
 * still useful to the caller
 * @param expectedNanos expected run time of a task
 * @param objective the objective and the run time that it depends on
 */
record BatchTimes(long arrivedNanos, long deadlineNanos, long latestStartNanos, long lastUsefulStartNanos,
		long expectedNanos, ResponseObjective objective) {

}
