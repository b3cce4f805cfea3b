package io.coriandermux.core.queue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.coriandermux.core.admission.WorkHistogram;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.table.OwnerShare;

/**
 * The waiting tasks of one owner in one pool, with the owner's virtual time and the
 * number of started tasks that count towards its quota.
 */
final class OwnerQueue {

	private final OwnerId owner;

	private final double fairnessFactor;

	private final Map<LaneGroup, Lane> lanes = new LinkedHashMap<>();

	private final WorkHistogram waitingWork = new WorkHistogram();

	private OwnerShare share;

	private double virtualTime;

	private int startedTasks;

	OwnerQueue(OwnerId owner, double fairnessFactor, OwnerShare share) {
		this.fairnessFactor = fairnessFactor;
		this.owner = owner;
		this.share = share;
	}

	OwnerId owner() {
		return this.owner;
	}

	double virtualTime() {
		return this.virtualTime;
	}

	/**
	 * Returns the delay that the owner's virtual time adds to the order keys of its
	 * tasks.
	 * @return the delay in nanoseconds
	 */
	double orderDelayNanos() {
		return this.fairnessFactor * this.virtualTime;
	}

	int weight() {
		return this.share.weight();
	}

	int maxInFlight() {
		return this.share.maxInFlight();
	}

	WorkHistogram waitingWork() {
		return this.waitingWork;
	}

	void updateShare(OwnerShare newShare) {
		removeLanesFromGroups();
		this.share = newShare;
		addLanesToGroups();
	}

	/**
	 * Queues a task. If the owner had no waiting task, its virtual time is raised to the
	 * minimum, which limits the advantage for the time in which it did not use its share.
	 * @param task the task
	 * @param group the group of its lane
	 * @param minVirtualTime lowest virtual time that an owner can have now
	 */
	void add(WaitingTask task, LaneGroup group, double minVirtualTime) {
		if (this.waitingWork.count() == 0 && this.virtualTime < minVirtualTime) {
			this.virtualTime = minVirtualTime;
		}
		Lane lane = this.lanes.computeIfAbsent(group, (key) -> new Lane(this, key));
		if (!lane.isEmpty() && isBelowQuota()) {
			group.remove(lane);
		}
		lane.add(task);
		this.waitingWork.add(task.estimate.expectedNanos());
		if (isBelowQuota()) {
			group.add(lane);
		}
	}

	void remove(WaitingTask task) {
		Lane lane = task.lane;
		if (isBelowQuota()) {
			lane.group.remove(lane);
		}
		dequeue(task);
		if (isBelowQuota() && !lane.isEmpty()) {
			lane.group.add(lane);
		}
	}

	private void dequeue(WaitingTask task) {
		Lane lane = task.lane;
		lane.remove(task);
		this.waitingWork.remove(task.estimate.expectedNanos());
		if (lane.isEmpty()) {
			this.lanes.remove(lane.group);
		}
	}

	/**
	 * Removes a task that is started, and charges its predicted run time to the owner.
	 * @param task the task
	 * @param chargeNanos virtual time to add in nanoseconds
	 */
	void start(WaitingTask task, double chargeNanos) {
		removeLanesFromGroups();
		dequeue(task);
		this.startedTasks++;
		this.virtualTime += chargeNanos;
		addLanesToGroups();
	}

	/**
	 * Records the end of a started task, and charges the difference between its actual
	 * and its predicted run time to the owner.
	 * @param extraChargeNanos virtual time to add in nanoseconds, may be negative
	 */
	void onTaskEnded(double extraChargeNanos) {
		removeLanesFromGroups();
		this.startedTasks--;
		this.virtualTime += extraChargeNanos;
		addLanesToGroups();
	}

	/**
	 * Removes all waiting tasks.
	 * @return the tasks, lane by lane in their order
	 */
	List<WaitingTask> removeAll() {
		List<WaitingTask> removed = new ArrayList<>();
		for (Lane lane : new ArrayList<>(this.lanes.values())) {
			while (!lane.isEmpty()) {
				WaitingTask first = lane.first();
				remove(first);
				removed.add(first);
			}
		}
		return removed;
	}

	boolean isBelowQuota() {
		return this.startedTasks < this.share.maxInFlight();
	}

	private void removeLanesFromGroups() {
		for (Lane lane : this.lanes.values()) {
			lane.group.remove(lane);
		}
	}

	private void addLanesToGroups() {
		if (isBelowQuota()) {
			for (Lane lane : this.lanes.values()) {
				lane.group.add(lane);
			}
		}
	}

}
