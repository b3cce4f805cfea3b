package io.coriandermux.bench.policy;

/**
 * Figures of one policy on one workload.
 *
 * @param responseVsCentral mean response time of a task, relative to the central queue
 * @param responseVsIdeal mean response time of a task, relative to the ideal policy
 * @param wastedMessagesPerTask messages per task other than starts, answers and
 * cancellations, plus starts that were refused
 * @param peakOnTimeFraction among the short tasks that arrive in the peak and that the
 * ideal policy answers by their deadline, the fraction that this policy answers by their
 * deadline
 * @param shortP99Slowdown 99th percentile of response time divided by run time of short
 * tasks
 * @param jobResponseVsCentral mean response time of a job, relative to the central queue
 * @param steadyVsCentral mean response time of a task outside the peak and the 20 s after
 * it, relative to the central queue
 * @param unservedFraction fraction of the tasks without an answer; their response time
 * counts as the time until their deadline
 * @param refusedWhileIdle number of tasks refused while a slot was idle
 * @param meanResponseMillis mean response time of a task in milliseconds
 */
public record PolicyFigures(double responseVsCentral, double responseVsIdeal, double wastedMessagesPerTask,
		double peakOnTimeFraction, double shortP99Slowdown, double jobResponseVsCentral, double steadyVsCentral,
		double unservedFraction, double refusedWhileIdle, double meanResponseMillis) {
}
