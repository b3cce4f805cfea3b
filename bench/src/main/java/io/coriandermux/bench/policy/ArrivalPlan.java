package io.coriandermux.bench.policy;

import java.util.List;

/**
 * The arrivals of one run, the same for every policy.
 *
 * @param jobs the jobs in order of arrival
 * @param tasks number of tasks
 * @param warmUpEndNanos end of the warm-up; the figures leave out tasks that arrive
 * earlier
 * @param peakStartNanos start of the evening peak
 * @param peakEndNanos end of the evening peak
 */
public record ArrivalPlan(List<JobArrival> jobs, int tasks, long warmUpEndNanos, long peakStartNanos,
		long peakEndNanos) {
}
