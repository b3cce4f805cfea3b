package io.coriandermux.core.queue;

import java.util.Comparator;

import io.coriandermux.core.estimate.RunTimeEstimate;

/**
 * A task in the queue of its owner. Its order key is the arrival time plus an aging time
 * that grows with the predicted run time: short tasks go first, and a task that has
 * waited for its aging time goes before every newly arrived one.
 */
final class WaitingTask {

	static final Comparator<WaitingTask> BY_ORDER_KEY = Comparator
		.<WaitingTask>comparingLong((waiting) -> waiting.orderKey)
		.thenComparingLong((waiting) -> waiting.sequence);

	static final Comparator<WaitingTask> BY_EXPIRY = Comparator
		.<WaitingTask>comparingLong((waiting) -> waiting.expiresAtNanos)
		.thenComparingLong((waiting) -> waiting.sequence);

	final QueuedTask task;

	final PoolQueue queue;

	final RunTimeEstimate estimate;

	final boolean shortWork;

	final long orderKey;

	final long sequence;

	final long expiresAtNanos;

	Lane lane;

	WaitingTask(QueuedTask task, PoolQueue queue, RunTimeEstimate estimate, boolean shortWork, long orderKey,
			long sequence) {
		this.task = task;
		this.queue = queue;
		this.estimate = estimate;
		this.shortWork = shortWork;
		this.orderKey = orderKey;
		this.sequence = sequence;
		this.expiresAtNanos = task.deadlineNanos() - estimate.lowNanos();
	}

}
