package io.coriandermux.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

import io.coriandermux.core.estimate.SpeedBaseline;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.outlier.OutlierEjection;
import io.coriandermux.core.run.ResourceAmounts;

/**
 * The endpoints of an entry, and the selection of an endpoint for a task.
 */
final class EndpointTable {

	/**
	 * Fraction by which the cost of a full endpoint exceeds that of an empty one. A
	 * nearly full endpoint is preferred only to one that is slower by more than this
	 * fraction, so that entries with load reports of different age do not all select the
	 * same endpoint.
	 */
	private static final double LOAD_WEIGHT = 0.1;

	/**
	 * Maximum relative cost that an entry's preference adds to an endpoint. The
	 * preference differs between entries. Without it, all entries select the same
	 * endpoint between two reports of its guard, and all start orders except the first
	 * few find no free capacity.
	 */
	private static final double PREFERENCE_WEIGHT = 0.2;

	/**
	 * Time after which a task that waits is expected to start at an endpoint that is full
	 * now. In a pool with a hundred running tasks of 300 ms, one ends every 3 ms, and
	 * several batches wait.
	 */
	private static final long TYPICAL_WAIT_NANOS = 20_000_000;

	/**
	 * A task waits only if that raises the probability to meet the objective by more than
	 * this.
	 */
	private static final double MIN_GAIN_OF_WAITING = 0.2;

	/** Difference of probabilities below which endpoints are chosen by cost. */
	private static final double PROBABILITY_TOLERANCE = 0.1;

	/** Run time on a remote rack as a multiple of that on the rack of the data. */
	private final double remoteFactor;

	private final ToDoubleFunction<GuardId> preference;

	private final SpeedBaseline baseline = new SpeedBaseline();

	private final OutlierEjection ejection = new OutlierEjection();

	private final Map<GuardId, PooledEndpoint> endpoints = new TreeMap<>();

	/**
	 * Creates an empty table.
	 * @param remoteFactor run time on a remote rack as a multiple of that on the rack of
	 * the data
	 * @param preference rank of a guard for this entry between 0 and 1; lower ranks are
	 * preferred
	 */
	EndpointTable(double remoteFactor, ToDoubleFunction<GuardId> preference) {
		this.remoteFactor = remoteFactor;
		this.preference = preference;
	}

	Collection<PooledEndpoint> all() {
		return this.endpoints.values();
	}

	Optional<PooledEndpoint> find(GuardId guard) {
		return Optional.ofNullable(this.endpoints.get(guard));
	}

	PooledEndpoint connect(GuardId guard, Incarnation incarnation) {
		PooledEndpoint known = this.endpoints.get(guard);
		if (known != null && known.incarnation().equals(incarnation)) {
			known.setConnected(true);
			return known;
		}
		if (known != null) {
			known.speed().removeFromBaseline();
		}
		PooledEndpoint added = new PooledEndpoint(guard, incarnation, this.baseline,
				this.preference.applyAsDouble(guard));
		this.endpoints.put(guard, added);
		return added;
	}

	void recordOutcome(PooledEndpoint endpoint, boolean success, long nowNanos) {
		this.ejection.onTaskEnded(endpoint.health(),
				() -> inPool(endpoint.load().pool()).stream().map(PooledEndpoint::health).toList(), success, nowNanos);
	}

	List<PooledEndpoint> inPool(PoolName pool) {
		return this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.load() != null && endpoint.load().pool().equals(pool))
			.toList();
	}

	/**
	 * Checks whether any endpoint of a pool could run a task if it were idle.
	 * @param pool the pool
	 * @param group the requirements of the task
	 * @return whether the capacity and the labels of one meet the requirements
	 */
	boolean canEverRun(PoolName pool, TaskGroup group) {
		return inPool(pool).stream().anyMatch((endpoint) -> isSuitable(endpoint, group));
	}

	/**
	 * Checks whether any endpoint of a pool accepts runs now.
	 * @param pool the pool
	 * @param nowNanos the current time on the monotonic clock
	 * @return whether one does
	 */
	boolean hasAcceptingEndpoint(PoolName pool, long nowNanos) {
		return inPool(pool).stream().anyMatch((endpoint) -> endpoint.accepts(nowNanos));
	}

	/**
	 * Checks whether any endpoint of a pool accepts runs and has free capacity.
	 * @param pool the pool
	 * @param needs the needs of a run
	 * @param nowNanos the current time on the monotonic clock
	 * @return whether one does
	 */
	boolean hasRoom(PoolName pool, ResourceAmounts needs, long nowNanos) {
		return this.endpoints.values()
			.stream()
			.anyMatch((endpoint) -> endpoint.accepts(nowNanos) && endpoint.load().pool().equals(pool)
					&& endpoint.free().fits(needs));
	}

	private static boolean isSuitable(PooledEndpoint endpoint, TaskGroup group) {
		return endpoint.load().capacity().fits(group.needs())
				&& (group.label().isEmpty() || endpoint.load().labels().contains(group.label()));
	}

	/**
	 * Chooses the endpoint with the lowest cost for a task. Only endpoints are considered
	 * where the task is nearly as likely to meet the objective of its batch as at the
	 * best one.
	 * @param task the task
	 * @param nowNanos the current time on the monotonic clock
	 * @return the endpoint, or empty if none has enough free capacity now, or if the task
	 * is more likely to meet the objective when it waits for one of the others
	 */
	Optional<PooledEndpoint> choose(BatchTask task, long nowNanos) {
		TaskGroup group = task.batch.request().tasks();
		List<PooledEndpoint> free = new ArrayList<>();
		double bestNow = 0;
		double bestLater = 0;
		for (PooledEndpoint endpoint : this.endpoints.values()) {
			if (!canRun(endpoint, task, nowNanos)) {
				continue;
			}
			double factor = runTimeFactor(endpoint, group);
			if (endpoint.free().fits(group.needs())) {
				free.add(endpoint);
				bestNow = Math.max(bestNow, task.batch.probabilityOnTime(factor, nowNanos));
			}
			else {
				bestLater = Math.max(bestLater, task.batch.probabilityOnTime(factor, nowNanos + TYPICAL_WAIT_NANOS));
			}
		}
		if (bestLater - bestNow > MIN_GAIN_OF_WAITING) {
			return Optional.empty();
		}
		PooledEndpoint best = null;
		double bestCost = Double.MAX_VALUE;
		for (PooledEndpoint endpoint : free) {
			double probability = task.batch.probabilityOnTime(runTimeFactor(endpoint, group), nowNanos);
			double cost = cost(endpoint, group);
			if (cost < bestCost && bestNow - probability <= PROBABILITY_TOLERANCE) {
				best = endpoint;
				bestCost = cost;
			}
		}
		return Optional.ofNullable(best);
	}

	private static boolean canRun(PooledEndpoint endpoint, BatchTask task, long nowNanos) {
		TaskGroup group = task.batch.request().tasks();
		return endpoint.accepts(nowNanos) && endpoint.load().pool().equals(task.batch.route().pool())
				&& isSuitable(endpoint, group) && !task.hasFailedAt(endpoint.guard())
				&& !isAtBatchLimit(task, endpoint, group);
	}

	// The run time at the endpoint as a multiple of that at average speed.
	private double runTimeFactor(PooledEndpoint endpoint, TaskGroup group) {
		boolean remote = !group.rack().isEmpty() && !endpoint.load().labels().contains(group.rack());
		return endpoint.speed().slowness() * (remote ? this.remoteFactor : 1);
	}

	private double cost(PooledEndpoint endpoint, TaskGroup group) {
		double usedFraction = 1
				- (double) endpoint.free().millicores() / Math.max(1, endpoint.load().capacity().millicores());
		return runTimeFactor(endpoint, group)
				* (1 + LOAD_WEIGHT * usedFraction + PREFERENCE_WEIGHT * endpoint.preference());
	}

	private static boolean isAtBatchLimit(BatchTask task, PooledEndpoint endpoint, TaskGroup group) {
		if (group.maxPerEndpoint() == 0) {
			return false;
		}
		long placed = task.batch.tasks()
			.stream()
			.filter((other) -> other.state() == BatchTask.State.PLACED && other.guard().equals(endpoint.guard()))
			.count();
		return placed >= group.maxPerEndpoint();
	}

	/**
	 * Returns the slowness of the fastest accepting endpoint of a pool.
	 * @param pool the pool
	 * @param nowNanos the current time on the monotonic clock
	 * @return the slowness, 1 if no endpoint accepts runs
	 */
	double leastSlowness(PoolName pool, long nowNanos) {
		return inPool(pool).stream()
			.filter((endpoint) -> endpoint.accepts(nowNanos))
			.mapToDouble((endpoint) -> endpoint.speed().slowness())
			.min()
			.orElse(1);
	}

}
