package io.coriandermux.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.message.StartRun;
import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.core.run.RunId;

/**
 * Places the tasks of waiting batches in order of urgency and tracks the runs that were
 * sent to guards.
 */
final class BatchPlacer {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final int PERCENT = 100;

	/**
	 * Batches that may be passed in one call because they wait for another endpoint. The
	 * limit bounds the cost of a call, which looks at all endpoints for each of them.
	 */
	private static final int MAX_WAITING_BY_CHOICE = 16;

	private final EndpointTable endpoints;

	private final GuardChannel guards;

	private final Consumer<Notice> notices;

	private final BiPredicate<Batch, Moment> mayStart;

	private final TreeSet<Batch> waiting = new TreeSet<>(Batch::compareUrgency);

	private final Map<RunId, BatchTask> runs = new LinkedHashMap<>();

	/**
	 * Work at average speed that the placed runs complete per millisecond, in millicores
	 * times milliseconds. While all endpoints are full, this is the share of this entry
	 * in the pool.
	 */
	private double drainRate;

	/**
	 * Creates a placer without batches.
	 * @param endpoints the endpoints
	 * @param guards sends orders to guards
	 * @param notices receives notices for operators
	 * @param mayStart returns whether a run of a batch may start now
	 */
	BatchPlacer(EndpointTable endpoints, GuardChannel guards, Consumer<Notice> notices,
			BiPredicate<Batch, Moment> mayStart) {
		this.endpoints = endpoints;
		this.guards = guards;
		this.notices = notices;
		this.mayStart = mayStart;
	}

	void add(Batch batch) {
		this.waiting.add(batch);
	}

	void remove(Batch batch) {
		this.waiting.remove(batch);
	}

	int waitingCount() {
		return this.waiting.size();
	}

	/**
	 * Counts the waiting batches of a route of which no run was sent to a guard.
	 * @param route the route
	 * @return the number
	 */
	int unstartedCount(BatchRoute route) {
		return (int) this.waiting.stream()
			.filter((batch) -> !batch.isStarted() && batch.route().name().equals(route.name()))
			.count();
	}

	List<BatchTask> placedTasks() {
		return new ArrayList<>(this.runs.values());
	}

	List<BatchTask> placedTasksAt(GuardId guard) {
		return this.runs.values().stream().filter((task) -> task.guard().equals(guard)).toList();
	}

	/**
	 * Removes a run that has certainly ended.
	 * @param run the run
	 * @param guard the guard to which it was sent
	 * @return the task of the run, empty if no such run was sent to the guard
	 */
	Optional<BatchTask> removeRun(RunId run, GuardId guard) {
		BatchTask task = this.runs.get(run);
		if (task == null || !task.guard().equals(guard)) {
			return Optional.empty();
		}
		this.runs.remove(run);
		this.drainRate = this.runs.isEmpty() ? 0 : this.drainRate - task.drainRate();
		return Optional.of(task);
	}

	/**
	 * Returns a task to the waiting state after its run has ended without completing the
	 * work.
	 * @param task the task
	 */
	void requeue(BatchTask task) {
		this.waiting.remove(task.batch);
		task.requeue();
		if (!task.batch.isAnswered()) {
			this.waiting.add(task.batch);
		}
	}

	/**
	 * Predicts how long a batch waits for those ahead of it.
	 * @param last the batch, whose own work is excluded; null for the work of all batches
	 * @return the time in milliseconds, 0 if no run is placed
	 */
	double predictWaitMillis(Batch last) {
		double work = 0;
		for (Batch batch : this.waiting) {
			if (batch == last) {
				break;
			}
			work += queuedWork(batch);
		}
		return (this.drainRate > 0) ? work / this.drainRate : 0;
	}

	private static double queuedWork(Batch batch) {
		long tasks = batch.tasks().stream().filter((task) -> task.state() == BatchTask.State.WAITING).count();
		return (double) tasks * batch.request().tasks().needs().millicores() * batch.expectedNanos() / NANOS_PER_MILLI;
	}

	/**
	 * Sends waiting tasks to guards while endpoints have free capacity. Batches that are
	 * not started and past their latest start come last. A batch that needs at least as
	 * much as one for which no endpoint has room is skipped. Batches that wait although
	 * an endpoint has room do not hold up the others.
	 * @param now the current time
	 */
	void place(Moment now) {
		if (this.waiting.isEmpty()) {
			return;
		}
		List<ResourceAmounts> blockedNeeds = new ArrayList<>();
		int waitingByChoice = 0;
		List<Batch> ordered = new ArrayList<>();
		this.waiting.stream().filter((batch) -> !isPastLatestStart(batch, now)).forEach(ordered::add);
		this.waiting.stream().filter((batch) -> isPastLatestStart(batch, now)).forEach(ordered::add);
		for (Batch batch : ordered) {
			ResourceAmounts needs = batch.request().tasks().needs();
			if (!this.mayStart.test(batch, now)) {
				continue;
			}
			if (blockedNeeds.stream().anyMatch((smaller) -> needs.fits(smaller))) {
				continue;
			}
			if (place(batch, now)) {
				continue;
			}
			if (!this.endpoints.hasRoom(batch.route().pool(), needs, now.nanos())) {
				blockedNeeds.add(needs);
			}
			else if (++waitingByChoice >= MAX_WAITING_BY_CHOICE) {
				return;
			}
		}
	}

	private static boolean isPastLatestStart(Batch batch, Moment now) {
		return !batch.isStarted() && now.nanos() >= batch.latestStartNanos();
	}

	// Returns whether all waiting tasks of the batch were placed.
	private boolean place(Batch batch, Moment now) {
		for (BatchTask task : batch.tasks()) {
			if (task.state() != BatchTask.State.WAITING) {
				continue;
			}
			Optional<PooledEndpoint> endpoint = this.endpoints.choose(task, now.nanos());
			if (endpoint.isEmpty()) {
				return false;
			}
			start(task, endpoint.get(), now);
		}
		this.waiting.remove(batch);
		return true;
	}

	private void start(BatchTask task, PooledEndpoint endpoint, Moment now) {
		Batch batch = task.batch;
		if (!batch.isStarted()) {
			this.waiting.remove(batch);
			batch.markStarted();
			this.waiting.add(batch);
		}
		ResourceAmounts needs = batch.request().tasks().needs();
		ResourceAmounts free = endpoint.free();
		double drained = needs.millicores() / endpoint.speed().slowness();
		RunId run = task.place(endpoint.guard(), drained, now.nanos());
		this.runs.put(run, task);
		this.drainRate += drained;
		endpoint.health().onTaskPlaced();
		long order = endpoint.addOrder(needs);
		task.setOrder(endpoint, order);
		this.guards.send(endpoint.guard(), new StartRun(run, batch.request().spec(), needs, order));
		this.notices.accept(new Notice(NoticeKind.RUN_PLACED, run.toString(),
				"at " + endpoint.guard() + " incarnation " + endpoint.incarnation().value() + ", free "
						+ free.millicores() + " millicores reported "
						+ (now.nanos() - endpoint.loadUpdatedNanos()) / NANOS_PER_MILLI + " ms ago, slowness "
						+ (int) (PERCENT * endpoint.speed().slowness()) + "%, waited "
						+ (now.nanos() - batch.arrivedNanos()) / NANOS_PER_MILLI + " ms"));
	}

}
