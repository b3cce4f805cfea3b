package io.coriandermux.core.place;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

import io.coriandermux.core.api.Resources;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.outlier.EndpointHealth;

/**
 * Ranks the guards of one pool that can take a task now by cost. Guards of equal capacity
 * form a class, so that the search for a guard looks at only one guard per class.
 */
public final class GuardRanking {

	/** Run time at which guards are compared; the order hardly depends on it. */
	private static final double REFERENCE_NANOS = 200_000_000;

	/** Tolerance for rounding errors in sums of fractional slots. */
	private static final double ROUNDING_TOLERANCE = 1e-6;

	private static final Comparator<RankedGuard> ORDER = Comparator.<RankedGuard>comparingDouble((rank) -> rank.cost)
		.thenComparing((rank) -> rank.guard.info().guard());

	private final Map<GuardId, RankedGuard> rankedGuards = new TreeMap<>();

	private final Map<Resources, CapacityClass> classes = new LinkedHashMap<>();

	private final TreeSet<RankedGuard> ejected = new TreeSet<>(
			Comparator.<RankedGuard>comparingLong((rank) -> rank.probeDueNanos)
				.thenComparing((rank) -> rank.guard.info().guard()));

	private int shortSlots;

	private int slots;

	private int startedLong;

	private double slotsForLongTasks;

	/**
	 * Creates an empty ranking.
	 * @param shortSlots slots of each endpoint that are reserved for short tasks
	 */
	public GuardRanking(int shortSlots) {
		this.shortSlots = shortSlots;
	}

	/**
	 * Changes the number of slots reserved for short tasks.
	 * @param count slots of each endpoint that are reserved for short tasks
	 * @param nowNanos the current time on the monotonic clock
	 */
	public void updateShortSlots(int count, long nowNanos) {
		this.shortSlots = count;
		for (RankedGuard rank : new ArrayList<>(this.rankedGuards.values())) {
			update(rank.guard, nowNanos);
		}
	}

	/**
	 * Adds a guard.
	 * @param guard the guard
	 * @param nowNanos the current time on the monotonic clock
	 */
	public void add(GuardState guard, long nowNanos) {
		CapacityClass capacityClass = this.classes.computeIfAbsent(guard.info().capacity(),
				(key) -> new CapacityClass());
		capacityClass.guardCount++;
		this.rankedGuards.put(guard.info().guard(), new RankedGuard(guard, capacityClass));
		guard.rankings().add(this);
		update(guard, nowNanos);
	}

	/**
	 * Removes a guard.
	 * @param guard the guard
	 */
	public void remove(GuardState guard) {
		RankedGuard rank = this.rankedGuards.remove(guard.info().guard());
		removeFromOrder(rank);
		rank.capacityClass.guardCount--;
		if (rank.capacityClass.guardCount == 0) {
			this.classes.remove(guard.info().capacity());
		}
		guard.rankings().remove(this);
	}

	/**
	 * Updates the rank of a guard after its state has changed.
	 * @param guard the guard
	 * @param nowNanos the current time on the monotonic clock
	 */
	public void update(GuardState guard, long nowNanos) {
		RankedGuard rank = this.rankedGuards.get(guard.info().guard());
		removeFromOrder(rank);
		rank.cost = guard.cost(REFERENCE_NANOS);
		rank.slots = guard.credits() + guard.startedCount();
		rank.startedLong = guard.startedLongCount();
		rank.slotsForLongTasks = (double) rank.slots * (guard.info().slots() - this.shortSlots) / guard.info().slots();
		this.slots += rank.slots;
		this.startedLong += rank.startedLong;
		this.slotsForLongTasks += rank.slotsForLongTasks;
		if (guard.isUsable(nowNanos)) {
			rank.capacityClass.usable.add(rank);
			if (guard.canStartLongTask(this.shortSlots)) {
				rank.capacityClass.usableForLongTasks.add(rank);
			}
		}
		else if (guard.isServing() && guard.credits() > 0) {
			rank.probeDueNanos = guard.health().probeDueNanos();
			this.ejected.add(rank);
		}
	}

	/**
	 * Returns the guard with the lowest cost that can take a task now.
	 * @param requirements the requirements of the task
	 * @param nowNanos the current time on the monotonic clock
	 * @return the guard, or null if no guard can take the task
	 */
	public GuardState best(PlacementRequirements requirements, long nowNanos) {
		readmitDueGuards(nowNanos);
		if (!requirements.shortWork() && !hasSlotForLongTask()) {
			return null;
		}
		RankedGuard best = null;
		for (Map.Entry<Resources, CapacityClass> entry : this.classes.entrySet()) {
			TreeSet<RankedGuard> usable = requirements.shortWork() ? entry.getValue().usable
					: entry.getValue().usableForLongTasks;
			if (!usable.isEmpty() && entry.getKey().fits(requirements.needs())
					&& (best == null || ORDER.compare(usable.first(), best) < 0)) {
				best = usable.first();
			}
		}
		return (best != null) ? best.guard : null;
	}

	/**
	 * Checks whether any endpoint of the pool has the capacity for a task.
	 * @param needs the resources that the task needs
	 * @return whether one has
	 */
	public boolean hasCapacityFor(Resources needs) {
		return this.classes.keySet().stream().anyMatch((capacity) -> capacity.fits(needs));
	}

	/**
	 * Rounds needs up to the next capacities of endpoints. The same endpoints fit the
	 * rounded needs, and few distinct needs remain.
	 * @param needs the resources that a task needs
	 * @return the rounded needs
	 */
	public Resources roundUpToCapacities(Resources needs) {
		return new Resources(roundUp(needs.cores(), Resources::cores), roundUp(needs.memoryMb(), Resources::memoryMb),
				roundUp(needs.accelerators(), Resources::accelerators));
	}

	/**
	 * Returns the distinct capacities of the endpoints.
	 * @return the capacities
	 */
	public Set<Resources> capacities() {
		return Set.copyOf(this.classes.keySet());
	}

	/**
	 * Returns the guards.
	 * @return the guards in order of their ids
	 */
	public List<GuardState> guards() {
		return this.rankedGuards.values().stream().map((rank) -> rank.guard).toList();
	}

	/**
	 * Returns the number of slots that this entry uses or can use now.
	 * @return the sum of credits and started tasks over the guards
	 */
	public int slots() {
		return this.slots;
	}

	/**
	 * Returns the health of all endpoints.
	 * @return the health in order of the guards' ids
	 */
	public Collection<EndpointHealth> health() {
		return this.rankedGuards.values().stream().map((rank) -> rank.guard.health()).toList();
	}

	/**
	 * Checks whether the pool has no guard.
	 * @return whether it has none
	 */
	public boolean isEmpty() {
		return this.rankedGuards.isEmpty();
	}

	/**
	 * Checks whether one more long task may start. Each entry reserves a share of its own
	 * slots for short tasks, so that it does not need the task counts of other entries.
	 * @return whether the task may start
	 */
	private boolean hasSlotForLongTask() {
		return this.startedLong + 1 <= this.slotsForLongTasks + ROUNDING_TOLERANCE;
	}

	private int roundUp(int need, ToIntFunction<Resources> component) {
		if (need <= 0) {
			return 0;
		}
		return this.classes.keySet()
			.stream()
			.mapToInt(component)
			.filter((capacity) -> capacity >= need)
			.min()
			.orElse(need);
	}

	private void readmitDueGuards(long nowNanos) {
		while (!this.ejected.isEmpty() && this.ejected.first().guard.health().canAcceptTask(nowNanos)) {
			update(this.ejected.first().guard, nowNanos);
		}
	}

	private void removeFromOrder(RankedGuard rank) {
		rank.capacityClass.usable.remove(rank);
		rank.capacityClass.usableForLongTasks.remove(rank);
		this.ejected.remove(rank);
		this.slots -= rank.slots;
		this.startedLong -= rank.startedLong;
		this.slotsForLongTasks -= rank.slotsForLongTasks;
		rank.slots = 0;
		rank.startedLong = 0;
		rank.slotsForLongTasks = 0;
	}

	private static final class CapacityClass {

		private final TreeSet<RankedGuard> usable = new TreeSet<>(ORDER);

		private final TreeSet<RankedGuard> usableForLongTasks = new TreeSet<>(ORDER);

		private int guardCount;

	}

	private static final class RankedGuard {

		private final GuardState guard;

		private final CapacityClass capacityClass;

		private double cost;

		private long probeDueNanos;

		private int slots;

		private int startedLong;

		private double slotsForLongTasks;

		RankedGuard(GuardState guard, CapacityClass capacityClass) {
			this.guard = guard;
			this.capacityClass = capacityClass;
		}

	}

}
