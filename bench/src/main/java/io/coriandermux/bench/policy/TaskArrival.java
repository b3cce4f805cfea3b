package io.coriandermux.bench.policy;

/**
 * A task of an arriving job.
 *
 * @param id number of the task, from 0
 * @param kind its kind
 * @param workNanos run time at an endpoint of speed 1 in nanoseconds
 * @param declaredMillis declared run time in milliseconds
 * @param arrivalNanos time of arrival of its job in nanoseconds
 * @param deadlineNanos deadline of its job in nanoseconds
 */
public record TaskArrival(int id, TaskKind kind, long workNanos, long declaredMillis, long arrivalNanos,
		long deadlineNanos) {
}
