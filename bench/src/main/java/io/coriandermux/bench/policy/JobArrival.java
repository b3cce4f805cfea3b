package io.coriandermux.bench.policy;

import java.util.List;

/**
 * A job that arrives at an entry.
 *
 * @param id number of the job, from 0
 * @param entry number of the entry to which the load balancer sends it
 * @param arrivalNanos time of arrival in nanoseconds
 * @param tasks its tasks, all of one kind
 */
public record JobArrival(int id, int entry, long arrivalNanos, List<TaskArrival> tasks) {
}
