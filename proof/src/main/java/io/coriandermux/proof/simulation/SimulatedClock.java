package io.coriandermux.proof.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The clock of a simulation run and the queue of work scheduled on it. Time advances only
 * from one scheduled item to the next. Work scheduled for the same time runs in the order
 * in which it was scheduled.
 */
final class SimulatedClock {

	/** Nanoseconds in a millisecond. */
	static final long NANOS_PER_MILLI = 1_000_000L;

	private final PriorityQueue<ScheduledWork> queue = new PriorityQueue<>(
			Comparator.comparingLong(ScheduledWork::atNanos).thenComparingLong(ScheduledWork::order));

	private long nowNanos;

	private long sequence;

	long now() {
		return this.nowNanos;
	}

	void scheduleAt(long atNanos, Runnable work) {
		this.queue.add(new ScheduledWork(Math.max(atNanos, this.nowNanos), this.sequence++, work));
	}

	void scheduleAfter(long delayNanos, Runnable work) {
		scheduleAt(this.nowNanos + delayNanos, work);
	}

	void runUntil(long endNanos) {
		while (!this.queue.isEmpty() && this.queue.peek().atNanos() <= endNanos) {
			ScheduledWork next = this.queue.poll();
			this.nowNanos = next.atNanos();
			next.work().run();
		}
		this.nowNanos = endNanos;
	}

	private record ScheduledWork(long atNanos, long order, Runnable work) {
	}

}
