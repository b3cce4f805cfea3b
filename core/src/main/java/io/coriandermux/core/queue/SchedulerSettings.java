package io.coriandermux.core.queue;

import io.coriandermux.core.id.ZoneName;

/**
 * Scheduling parameters of an entry. With aging, a task goes before any newly arrived
 * task once it has waited for its aging time. The aging time grows with the square root
 * of the predicted run time; a task whose predicted run time is the reference time has an
 * aging time of {@code agingFactor} times its predicted run time.
 *
 * @param zone availability zone of the entry
 * @param maxQueuedTasks limit on the tasks that wait at the entry for one pool
 * @param longTaskMillis predicted run time from which a task counts as long, in
 * milliseconds
 * @param agingFactor aging time of a task of the reference time, as a multiple of its
 * predicted run time
 * @param agingReferenceNanos the reference time for {@link #agingNanos}, in nanoseconds
 * @param fairnessFactor delay of an owner's tasks in the order per unit of the owner's
 * virtual time
 * @param crossZoneNanos placement cost of a guard in another availability zone: the
 * additional round-trip time in nanoseconds
 * @param demandIntervalNanos minimum interval between two demands to the same guard in
 * nanoseconds
 */
public record SchedulerSettings(ZoneName zone, int maxQueuedTasks, long longTaskMillis, double agingFactor,
		long agingReferenceNanos, double fairnessFactor, long crossZoneNanos, long demandIntervalNanos) {

	/** About the number of tasks that a large pool completes in one second. */
	private static final int MAX_QUEUED_TASKS = 100_000;

	/**
	 * Most tasks take 50 ms to 1 s; longer ones would block the slots that these need.
	 */
	private static final long LONG_TASK_MILLIS = 1_000;

	/**
	 * The backlog of a burst of three times the mean load for 5 s drains in about 60 s at
	 * 85% load. During this time aging does not reverse the order of tasks whose run
	 * times differ by 1 s.
	 */
	private static final double AGING_FACTOR = 60;

	/**
	 * Run time of the shortest common tasks. With aging proportional to the run time, a
	 * task of 0.9 s waited for more than 20 s behind tasks of this length that arrived at
	 * twice the rate at which they were served.
	 */
	private static final long AGING_REFERENCE_NANOS = 50_000_000L;

	/**
	 * A burst lasts for 5 s; its short tasks may go before the long tasks of other
	 * owners. With the aging factor of 60, an owner gets ahead by 15 times the difference
	 * of the run times: 7.5 s for a difference of 0.5 s, about the excess work of a
	 * burst.
	 */
	private static final double FAIRNESS_FACTOR = 4;

	/** Round trip with one-way delays of up to 1 ms between availability zones. */
	private static final long CROSS_ZONE_NANOS = 2_000_000L;

	private static final long DEMAND_INTERVAL_NANOS = 100_000_000L;

	/**
	 * Returns the waiting time after which a task goes before any newly arrived task. It
	 * grows with the square root of the predicted run time.
	 * @param expectedNanos predicted run time in nanoseconds
	 * @return the waiting time in nanoseconds
	 */
	public long agingNanos(long expectedNanos) {
		return (long) (this.agingFactor * Math.sqrt((double) expectedNanos * this.agingReferenceNanos));
	}

	/**
	 * Returns the default settings.
	 * @param zone availability zone of the entry
	 * @return the settings
	 */
	public static SchedulerSettings of(ZoneName zone) {
		return new SchedulerSettings(zone, MAX_QUEUED_TASKS, LONG_TASK_MILLIS, AGING_FACTOR, AGING_REFERENCE_NANOS,
				FAIRNESS_FACTOR, CROSS_ZONE_NANOS, DEMAND_INTERVAL_NANOS);
	}

}
