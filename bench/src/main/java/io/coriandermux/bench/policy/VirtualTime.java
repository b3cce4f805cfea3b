package io.coriandermux.bench.policy;

import java.util.PriorityQueue;

import io.coriandermux.core.id.Moment;

/**
 * Runs scheduled actions in the order of their virtual time, and actions of the same time
 * in the order in which they were scheduled.
 */
public final class VirtualTime {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final PriorityQueue<Event> queue = new PriorityQueue<>();

	private long nanos;

	private long sequence;

	/**
	 * Schedules an action.
	 * @param time time at which it runs in nanoseconds, now if this has passed
	 * @param action the action
	 */
	public void scheduleAt(long time, Runnable action) {
		this.sequence++;
		this.queue.add(new Event(Math.max(time, this.nanos), this.sequence, action));
	}

	/**
	 * Schedules an action.
	 * @param delay delay in nanoseconds
	 * @param action the action
	 */
	public void scheduleAfter(long delay, Runnable action) {
		scheduleAt(this.nanos + delay, action);
	}

	/**
	 * Returns the time.
	 * @return the time since the start in nanoseconds
	 */
	public long nanos() {
		return this.nanos;
	}

	/**
	 * Returns the time as a reading of both clocks.
	 * @return the time
	 */
	public Moment now() {
		return new Moment(this.nanos, this.nanos / NANOS_PER_MILLI);
	}

	/**
	 * Runs the actions until none is scheduled.
	 */
	public void run() {
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
