package io.coriandermux.core.admission;

import java.util.Optional;

import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.estimate.RunTimeEstimate;

/**
 * Admission limits for queued tasks: by count, by predicted wait and by deadline.
 */
public final class AdmissionRules {

	/**
	 * Fraction of the queue that all owners share; the rest is reserved for the owners by
	 * weight.
	 */
	private static final double SHARED_FRACTION = 0.5;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/** Shortest delay before a retry that is suggested to a caller. */
	private static final long MIN_RETRY_MILLIS = 50;

	private final int maxQueuedTasks;

	/**
	 * Creates the rules.
	 * @param maxQueuedTasks limit on the tasks that wait for one pool
	 */
	public AdmissionRules(int maxQueuedTasks) {
		this.maxQueuedTasks = maxQueuedTasks;
	}

	/**
	 * Checks the limit by count. An owner can always fill its reserved part of the queue,
	 * however many tasks the other owners have queued.
	 * @param state state of the queue
	 * @param tasks number of new tasks
	 * @return the refusal, or empty
	 */
	public Optional<Denial> checkCount(QueueState state, int tasks) {
		if (state.maxInFlight() <= 0) {
			return Optional.of(new Denial(ReplyCode.QUOTA, "the quota of the owner is 0", 0));
		}
		double reserved = (1 - SHARED_FRACTION) * this.maxQueuedTasks * state.totalWeightShare();
		double shared = SHARED_FRACTION * this.maxQueuedTasks;
		int ownerTasks = state.ownerWork().count() + tasks;
		if (ownerTasks <= reserved || state.poolWork().count() + tasks <= shared) {
			return Optional.empty();
		}
		return Optional.of(new Denial(ReplyCode.OVERLOADED, "the queue of the pool is full", MIN_RETRY_MILLIS));
	}

	/**
	 * Checks the limit on the predicted wait and the deadline of one task.
	 * @param state state of the queue
	 * @param estimate estimate of the task
	 * @param untilDeadlineNanos time until the deadline in nanoseconds
	 * @param maxWaitMillis longest predicted wait in milliseconds
	 * @return the refusal, or empty
	 */
	public Optional<Denial> checkTime(QueueState state, RunTimeEstimate estimate, long untilDeadlineNanos,
			long maxWaitMillis) {
		double waitNanos = state.waitNanos(estimate.expectedNanos());
		boolean limitedByQuota = waitNanos <= state.quotaWaitNanos(estimate.expectedNanos());
		if (waitNanos + estimate.lowNanos() > untilDeadlineNanos || untilDeadlineNanos <= 0) {
			return Optional.of(new Denial((limitedByQuota && waitNanos > 0) ? ReplyCode.QUOTA : ReplyCode.DEADLINE,
					"the deadline cannot be met", retryAfterMillis(waitNanos)));
		}
		if (waitNanos > (double) maxWaitMillis * NANOS_PER_MILLI) {
			return Optional.of(new Denial(limitedByQuota ? ReplyCode.QUOTA : ReplyCode.OVERLOADED,
					"the predicted wait exceeds its bound of " + maxWaitMillis + " ms", retryAfterMillis(waitNanos)));
		}
		return Optional.empty();
	}

	private static long retryAfterMillis(double waitNanos) {
		return Math.max(MIN_RETRY_MILLIS, (long) waitNanos / NANOS_PER_MILLI / 2);
	}

}
