package io.coriandermux.core.dispatch;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

import io.coriandermux.core.estimate.SpeedScale;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.outlier.OutlierEjection;

/**
 * The endpoints that an entry knows, and the choice among them.
 */
final class EndpointTable {

	/**
	 * A full endpoint is chosen only over one that is slower by more than this part, so
	 * that entries with views of different age do not all choose the same one.
	 */
	private static final double FILL_WEIGHT = 0.1;

	/**
	 * Endpoints of the same speed differ by up to this part for an entry, and otherwise
	 * for each entry. Without it all entries choose the same endpoint between two reports
	 * of its guard, and all orders but the first few find no room.
	 */
	private static final double PREFERENCE_WEIGHT = 0.2;

	/** Run time on a rack away from the data, as a multiple of that near it. */
	private final double remoteFactor;

	private final ToDoubleFunction<GuardId> preference;

	private final SpeedScale scale = new SpeedScale();

	private final OutlierEjection ejection = new OutlierEjection();

	private final Map<GuardId, PooledEndpoint> endpoints = new TreeMap<>();

	/**
	 * Creates an empty table.
	 * @param remoteFactor run time on a rack away from the data, as a multiple of that
	 * near it
	 * @param preference rank of a guard for this entry between 0 and 1, the lowest
	 * preferred
	 */
	EndpointTable(double remoteFactor, ToDoubleFunction<GuardId> preference) {
		this.remoteFactor = remoteFactor;
		this.preference = preference;
	}

	Collection<PooledEndpoint> all() {
		return this.endpoints.values();
	}

	Optional<PooledEndpoint> of(GuardId guard) {
		return Optional.ofNullable(this.endpoints.get(guard));
	}

	PooledEndpoint up(GuardId guard, Incarnation incarnation) {
		PooledEndpoint known = this.endpoints.get(guard);
		if (known != null && known.incarnation().equals(incarnation)) {
			known.linked(true);
			return known;
		}
		if (known != null) {
			known.speed().leave();
		}
		PooledEndpoint added = new PooledEndpoint(guard, incarnation, this.scale, this.preference.applyAsDouble(guard));
		this.endpoints.put(guard, added);
		return added;
	}

	void ended(PooledEndpoint endpoint, boolean success, long nowNanos) {
		this.ejection.ended(endpoint.health(),
				() -> inPool(endpoint.load().pool()).stream().map(PooledEndpoint::health).toList(), success, nowNanos);
	}

	List<PooledEndpoint> inPool(PoolName pool) {
		return this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.load() != null && endpoint.load().pool().equals(pool))
			.toList();
	}

	/**
	 * Returns whether some endpoint of a pool could ever run a task.
	 * @param pool the pool
	 * @param group what the task needs
	 * @return whether the capacity and the labels of one suffice
	 */
	boolean isPossible(PoolName pool, TaskGroup group) {
		return inPool(pool).stream().anyMatch((endpoint) -> isSuitable(endpoint, group));
	}

	/**
	 * Returns whether some endpoint of a pool takes work now.
	 * @param pool the pool
	 * @param nowNanos the current time on the monotonic clock
	 * @return whether one does
	 */
	boolean isServing(PoolName pool, long nowNanos) {
		return inPool(pool).stream().anyMatch((endpoint) -> endpoint.accepts(nowNanos));
	}

	private static boolean isSuitable(PooledEndpoint endpoint, TaskGroup group) {
		return endpoint.load().capacity().fits(group.needs())
				&& (group.label().isEmpty() || endpoint.load().labels().contains(group.label()));
	}

	/**
	 * Chooses the endpoint on which a task is expected to end first.
	 * @param task the task
	 * @param nowNanos the current time on the monotonic clock
	 * @return the endpoint, or empty if none has room now
	 */
	Optional<PooledEndpoint> choose(BatchTask task, long nowNanos) {
		TaskGroup group = task.batch.request().tasks();
		PooledEndpoint best = null;
		double bestCost = Double.MAX_VALUE;
		for (PooledEndpoint endpoint : this.endpoints.values()) {
			if (!endpoint.accepts(nowNanos) || !endpoint.load().pool().equals(task.batch.route().pool())
					|| !endpoint.free().fits(group.needs()) || !isSuitable(endpoint, group)
					|| task.hasFailedAt(endpoint.guard()) || isCrowded(task, endpoint, group)) {
				continue;
			}
			double cost = cost(endpoint, group);
			if (cost < bestCost) {
				best = endpoint;
				bestCost = cost;
			}
		}
		return Optional.ofNullable(best);
	}

	private double cost(PooledEndpoint endpoint, TaskGroup group) {
		boolean remote = !group.rack().isEmpty() && !endpoint.load().labels().contains(group.rack());
		double used = 1 - (double) endpoint.free().millicores() / Math.max(1, endpoint.load().capacity().millicores());
		return endpoint.speed().slowness() * (remote ? this.remoteFactor : 1)
				* (1 + FILL_WEIGHT * used + PREFERENCE_WEIGHT * endpoint.preference());
	}

	private static boolean isCrowded(BatchTask task, PooledEndpoint endpoint, TaskGroup group) {
		if (group.maxPerEndpoint() == 0) {
			return false;
		}
		long there = task.batch.tasks()
			.stream()
			.filter((other) -> other.state() == BatchTask.State.PLACED && other.guard().equals(endpoint.guard()))
			.count();
		return there >= group.maxPerEndpoint();
	}

	/**
	 * Returns the slowness of the fastest endpoint of a pool that takes work.
	 * @param pool the pool
	 * @param nowNanos the current time on the monotonic clock
	 * @return the factor, 1 if there is none
	 */
	double leastSlowness(PoolName pool, long nowNanos) {
		return inPool(pool).stream()
			.filter((endpoint) -> endpoint.accepts(nowNanos))
			.mapToDouble((endpoint) -> endpoint.speed().slowness())
			.min()
			.orElse(1);
	}

}
