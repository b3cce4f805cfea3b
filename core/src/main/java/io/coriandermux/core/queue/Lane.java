package io.coriandermux.core.queue;

import java.util.TreeSet;

/**
 * The waiting tasks of one owner that the same endpoints can run.
 */
final class Lane {

	final OwnerQueue owner;

	final LaneGroup group;

	private final TreeSet<WaitingTask> tasks = new TreeSet<>(WaitingTask.BY_ORDER_KEY);

	Lane(OwnerQueue owner, LaneGroup group) {
		this.owner = owner;
		this.group = group;
	}

	void add(WaitingTask waiting) {
		waiting.lane = this;
		this.tasks.add(waiting);
	}

	void remove(WaitingTask waiting) {
		this.tasks.remove(waiting);
	}

	WaitingTask first() {
		return this.tasks.first();
	}

	/**
	 * Returns the key that orders the lanes of a group: the order key of the first task
	 * plus the delay for the virtual time that the owner has used.
	 * @return the key in nanoseconds, the smallest goes first
	 */
	double orderKey() {
		return first().orderKey + this.owner.orderDelayNanos();
	}

	boolean isEmpty() {
		return this.tasks.isEmpty();
	}

}
