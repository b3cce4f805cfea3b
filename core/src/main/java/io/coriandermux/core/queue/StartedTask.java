package io.coriandermux.core.queue;

import java.util.Comparator;

import io.coriandermux.core.place.GuardState;

/**
 * A task that was placed and has not ended.
 */
final class StartedTask {

	static final Comparator<StartedTask> BY_OVERRUN = Comparator
		.<StartedTask>comparingLong((started) -> started.overrunsAtNanos)
		.thenComparingLong((started) -> started.waiting.sequence);

	final WaitingTask waiting;

	final OwnerQueue owner;

	final GuardState guard;

	final long overrunsAtNanos;

	boolean longWork;

	StartedTask(WaitingTask waiting, GuardState guard, long overrunsAtNanos) {
		this.waiting = waiting;
		this.owner = waiting.lane.owner;
		this.guard = guard;
		this.overrunsAtNanos = overrunsAtNanos;
		this.longWork = !waiting.shortWork;
	}

}
