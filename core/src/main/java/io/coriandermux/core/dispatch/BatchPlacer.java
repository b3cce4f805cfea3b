package io.coriandermux.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.message.StartRun;
import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.run.Amounts;
import io.coriandermux.core.run.RunId;

/**
 * The batches with tasks that wait, in their order, and the runs that were sent to
 * guards.
 */
final class BatchPlacer {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final int PERCENT = 100;

	private final EndpointTable endpoints;

	private final GuardChannel guards;

	private final Consumer<Notice> notices;

	private final TreeSet<Batch> waiting = new TreeSet<>(Batch.BY_URGENCY);

	private final Map<RunId, BatchTask> runs = new LinkedHashMap<>();

	BatchPlacer(EndpointTable endpoints, GuardChannel guards, Consumer<Notice> notices) {
		this.endpoints = endpoints;
		this.guards = guards;
		this.notices = notices;
	}

	void add(Batch batch) {
		this.waiting.add(batch);
	}

	void remove(Batch batch) {
		this.waiting.remove(batch);
	}

	int waiting() {
		return this.waiting.size();
	}

	/**
	 * Counts the waiting batches of a route of which no task has been sent to a guard.
	 * @param route the route
	 * @return the number
	 */
	int pending(BatchRoute route) {
		return (int) this.waiting.stream()
			.filter((batch) -> !batch.started() && batch.route().name().equals(route.name()))
			.count();
	}

	List<BatchTask> running() {
		return new ArrayList<>(this.runs.values());
	}

	List<BatchTask> runningAt(GuardId guard) {
		return this.runs.values().stream().filter((task) -> task.guard().equals(guard)).toList();
	}

	/**
	 * Takes a run out that has certainly ended.
	 * @param run the run
	 * @param guard the guard to which it was sent
	 * @return its task, empty if it is not known
	 */
	Optional<BatchTask> ended(RunId run, GuardId guard) {
		BatchTask task = this.runs.get(run);
		if (task == null || !task.guard().equals(guard)) {
			return Optional.empty();
		}
		this.runs.remove(run);
		return Optional.of(task);
	}

	/**
	 * Lets a task wait again whose run has ended without its work done.
	 * @param task the task
	 */
	void waitAgain(BatchTask task) {
		this.waiting.remove(task.batch);
		task.waitAgain();
		if (!task.batch.answered()) {
			this.waiting.add(task.batch);
		}
	}

	/**
	 * Returns the work of the waiting batches up to one of them.
	 * @param last the batch, whose own work does not count; null for the work of all
	 * @return the work in millicores times milliseconds
	 */
	double workBefore(Batch last) {
		double work = 0;
		for (Batch batch : this.waiting) {
			if (batch == last) {
				return work;
			}
			work += work(batch);
		}
		return work;
	}

	private static double work(Batch batch) {
		long tasks = batch.tasks().stream().filter((task) -> task.state() == BatchTask.State.WAITING).count();
		return (double) tasks * batch.request().tasks().needs().millicores() * batch.expectedNanos() / NANOS_PER_MILLI;
	}

	/**
	 * Sends tasks to guards while endpoints have room for them.
	 * @param now the current time
	 */
	void place(Moment now) {
		if (this.waiting.isEmpty()) {
			return;
		}
		List<Amounts> blocked = new ArrayList<>();
		List<Batch> order = new ArrayList<>();
		this.waiting.stream().filter((batch) -> !isLate(batch, now)).forEach(order::add);
		this.waiting.stream().filter((batch) -> isLate(batch, now)).forEach(order::add);
		for (Batch batch : order) {
			Amounts needs = batch.request().tasks().needs();
			if (blocked.stream().anyMatch((larger) -> needs.fits(larger))) {
				continue;
			}
			if (!place(batch, now)) {
				blocked.add(needs);
			}
		}
	}

	private static boolean isLate(Batch batch, Moment now) {
		return !batch.started() && now.nanos() >= batch.latestStartNanos();
	}

	// Returns whether every waiting task of the batch was placed.
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
		if (!batch.started()) {
			this.waiting.remove(batch);
			batch.start();
			this.waiting.add(batch);
		}
		Amounts needs = batch.request().tasks().needs();
		Amounts free = endpoint.free();
		RunId run = task.place(endpoint.guard(), now.nanos());
		this.runs.put(run, task);
		endpoint.health().placed();
		long order = endpoint.order(needs);
		this.guards.send(endpoint.guard(), new StartRun(run, batch.request().spec(), needs, order));
		this.notices.accept(new Notice(NoticeKind.RUN_PLACED, run.toString(),
				"at " + endpoint.guard() + ", free " + free.millicores() + " millicores known for "
						+ (now.nanos() - endpoint.loadedNanos()) / NANOS_PER_MILLI + " ms, slowness "
						+ (int) (PERCENT * endpoint.speed().slowness()) + "%, waited "
						+ (now.nanos() - batch.arrivedNanos()) / NANOS_PER_MILLI + " ms"));
	}

}
