package io.coriandermux.bench.policy;

import java.util.PriorityQueue;

import io.coriandermux.core.id.Moment;

/**
 * Runs scheduled actions in the order of their virtual time, and actions of the same time
 * in the order in which they were scheduled.
 */
final class VirtualTime {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final PriorityQueue<Event> queue = new PriorityQueue<>();

	private long nanos;

	private long sequence;

	void scheduleAt(long time, Runnable action) {
		this.sequence++;
		this.queue.add(new Event(Math.max(time, this.nanos), this.sequence, action));
	}

	void scheduleAfter(long delay, Runnable action) {
		scheduleAt(this.nanos + delay, action);
	}

	long nanos() {
		return this.nanos;
	}

	Moment now() {
		return new Moment(this.nanos, this.nanos / NANOS_PER_MILLI);
	}

	void run() {
		for (Event next = this.queue.poll(); next != null; next = this.queue.poll()) {
			this.nanos = next.time;
			next.action.run();
		}
	}

	private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.time, other.time);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

}
