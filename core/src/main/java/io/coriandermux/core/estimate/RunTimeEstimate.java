package io.coriandermux.core.estimate;

/**
 * Estimated run time of a task on an endpoint of average speed.
 *
 * @param expectedNanos mean run time in nanoseconds, without the longest 5% of the runs
 * @param typicalNanos median run time in nanoseconds
 * @param lowNanos 5th percentile of the run time in nanoseconds
 * @param logSpread standard deviation of the logarithm of the run time
 * @param learned whether the estimate is based on enough observations to ignore the
 * declared run time
 */
public record RunTimeEstimate(long expectedNanos, long typicalNanos, long lowNanos, double logSpread, boolean learned) {
}
