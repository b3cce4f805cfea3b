package io.coriandermux.core.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import io.coriandermux.core.admission.QueueState;
import io.coriandermux.core.admission.WorkHistogram;
import io.coriandermux.core.api.Resources;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.place.GuardRanking;
import io.coriandermux.core.place.GuardState;
import io.coriandermux.core.place.PlacementRequirements;
import io.coriandermux.core.table.OwnerShare;
import io.coriandermux.core.table.Pool;

/**
 * The waiting tasks of one pool, in fair order among owners. Each started task adds to
 * its owner's virtual time the time that the owner's share of the slots needs for the
 * work. A multiple of the virtual time delays the owner's tasks in the order. Owners with
 * tasks of the same size therefore get slots in proportion to their weights, and an owner
 * with shorter tasks gets ahead in proportion to the difference.
 */
final class PoolQueue {

	/**
	 * A burst of three times the mean load for 5 s brings 10 s of excess work. An owner
	 * that was idle for this long may run such a burst before its share limits it.
	 */
	private static final double MAX_VIRTUAL_TIME_LAG_NANOS = 10e9;

	private static final OwnerShare ZERO_QUOTA = new OwnerShare(1, 0);

	final GuardRanking ranking;

	private final Map<OwnerId, OwnerQueue> owners = new LinkedHashMap<>();

	private final Map<PlacementRequirements, LaneGroup> groups = new LinkedHashMap<>();

	/** Owners that have waiting tasks and are below their quota. */
	private final TreeSet<OwnerQueue> backlogged = new TreeSet<>(
			Comparator.comparingDouble(OwnerQueue::virtualTime).thenComparing(OwnerQueue::owner));

	private final double fairnessFactor;

	private final WorkHistogram waitingWork = new WorkHistogram();

	private Pool pool;

	private int totalWeight;

	private int activeWeight;

	private double virtualTime;

	private Set<Resources> capacities = Set.of();

	PoolQueue(Pool pool, double fairnessFactor) {
		this.fairnessFactor = fairnessFactor;
		this.ranking = new GuardRanking(pool.shortSlots());
		this.pool = pool;
		updatePool(pool);
	}

	Pool pool() {
		return this.pool;
	}

	/**
	 * Applies a changed configuration of the pool. Waiting tasks of an owner that no
	 * longer has a share stay queued but do not start.
	 * @param changed the new configuration
	 */
	void updatePool(Pool changed) {
		this.pool = changed;
		this.totalWeight = Math.max(1, changed.shares().values().stream().mapToInt(OwnerShare::weight).sum());
		this.backlogged.clear();
		for (OwnerQueue owner : this.owners.values()) {
			owner.updateShare(changed.shares().getOrDefault(owner.owner(), ZERO_QUOTA));
			addIfBacklogged(owner);
		}
		this.activeWeight = this.owners.values()
			.stream()
			.filter((owner) -> owner.waitingWork().count() > 0)
			.mapToInt(OwnerQueue::weight)
			.sum();
	}

	int waiting() {
		return this.waitingWork.count();
	}

	OwnerQueue ownerQueue(OwnerId id) {
		return this.owners.computeIfAbsent(id,
				(key) -> new OwnerQueue(key, this.fairnessFactor, this.pool.shares().getOrDefault(key, ZERO_QUOTA)));
	}

	QueueState queueState(OwnerId id, int slots) {
		OwnerQueue owner = ownerQueue(id);
		int weightWithOwner = this.activeWeight + ((owner.waitingWork().count() == 0) ? owner.weight() : 0);
		return new QueueState(owner.waitingWork(), this.waitingWork, slots, (double) owner.weight() / weightWithOwner,
				(double) owner.weight() / this.totalWeight, owner.maxInFlight());
	}

	void add(WaitingTask waiting) {
		OwnerQueue owner = ownerQueue(waiting.task.task().job().owner());
		if (owner.waitingWork().count() == 0) {
			this.activeWeight += owner.weight();
		}
		this.waitingWork.add(waiting.estimate.expectedNanos());
		this.backlogged.remove(owner);
		owner.add(waiting, groupFor(waiting), minVirtualTime());
		addIfBacklogged(owner);
	}

	void remove(WaitingTask waiting) {
		OwnerQueue owner = waiting.lane.owner;
		this.backlogged.remove(owner);
		owner.remove(waiting);
		onTaskRemoved(waiting);
		addIfBacklogged(owner);
	}

	/**
	 * Records the end of a started task, and charges the difference between its actual
	 * and its predicted run time to its owner.
	 * @param owner the owner
	 * @param extraNanos actual minus predicted run time in nanoseconds, may be negative
	 */
	void onTaskEnded(OwnerQueue owner, double extraNanos) {
		this.backlogged.remove(owner);
		owner.onTaskEnded(charge(owner, extraNanos));
		addIfBacklogged(owner);
	}

	private void addIfBacklogged(OwnerQueue owner) {
		if (owner.waitingWork().count() > 0 && owner.isBelowQuota()) {
			this.backlogged.add(owner);
		}
	}

	/**
	 * Removes a task that is started from the queue.
	 * @param waiting the task
	 */
	void start(WaitingTask waiting) {
		OwnerQueue owner = waiting.lane.owner;
		this.backlogged.remove(owner);
		this.virtualTime = Math.max(this.virtualTime, owner.virtualTime());
		owner.start(waiting, charge(owner, waiting.estimate.expectedNanos()));
		onTaskRemoved(waiting);
		addIfBacklogged(owner);
	}

	/**
	 * Selects the task to start next.
	 * @param nowNanos the current time on the monotonic clock
	 * @return the task and its guard, or null if no waiting task can start now
	 */
	Choice selectNext(long nowNanos) {
		Lane best = null;
		GuardState bestGuard = null;
		for (LaneGroup group : this.groups.values()) {
			Lane lane = group.first();
			if (lane == null) {
				continue;
			}
			GuardState guard = this.ranking.best(group.requirements, nowNanos);
			if (guard != null && (best == null || LaneGroup.ORDER.compare(lane, best) < 0)) {
				best = lane;
				bestGuard = guard;
			}
		}
		return (best != null) ? new Choice(best.first(), bestGuard) : null;
	}

	/**
	 * Regroups the waiting tasks if the set of distinct endpoint capacities has changed.
	 */
	void onCapacitiesChanged() {
		Set<Resources> current = this.ranking.capacities();
		if (current.equals(this.capacities)) {
			return;
		}
		this.capacities = current;
		List<WaitingTask> tasks = new ArrayList<>();
		for (OwnerQueue owner : this.owners.values()) {
			tasks.addAll(owner.removeAll());
		}
		this.groups.clear();
		for (WaitingTask waiting : tasks) {
			waiting.lane.owner.add(waiting, groupFor(waiting), this.virtualTime);
		}
	}

	/**
	 * Returns the virtual time that an owner is charged for work: the time that its share
	 * of the slots needs for the work.
	 * @param owner the owner
	 * @param workNanos the work in nanoseconds
	 * @return the time in nanoseconds
	 */
	private double charge(OwnerQueue owner, double workNanos) {
		return workNanos * Math.max(owner.weight(), this.activeWeight) / owner.weight()
				/ Math.max(1, this.ranking.slots());
	}

	private double minVirtualTime() {
		if (!this.backlogged.isEmpty()) {
			this.virtualTime = Math.max(this.virtualTime, this.backlogged.first().virtualTime());
		}
		return this.virtualTime - MAX_VIRTUAL_TIME_LAG_NANOS;
	}

	private LaneGroup groupFor(WaitingTask waiting) {
		PlacementRequirements requirements = new PlacementRequirements(
				this.ranking.roundUpToCapacities(waiting.task.spec().needs()), waiting.shortWork);
		return this.groups.computeIfAbsent(requirements, LaneGroup::new);
	}

	private void onTaskRemoved(WaitingTask waiting) {
		this.waitingWork.remove(waiting.estimate.expectedNanos());
		OwnerQueue owner = waiting.lane.owner;
		if (owner.waitingWork().count() == 0) {
			this.activeWeight -= owner.weight();
		}
	}

	/**
	 * A task and the guard that is to start it.
	 *
	 * @param waiting the task
	 * @param guard the guard
	 */
	record Choice(WaitingTask waiting, GuardState guard) {
	}

}
