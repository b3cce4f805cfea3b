package io.coriandermux.bench.batch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;

import io.coriandermux.bench.policy.VirtualTime;

/**
 * Runs a load under a simple policy, without entries, guards, delays and faults.
 */
final class ReferenceSimulation {

	/** Choice of the endpoint at which a task waits. */
	enum Policy {

		/** A random endpoint. */
		RANDOM,

		/** Each endpoint in turn. */
		ROUND_ROBIN,

		/** The endpoint with fewer waiting tasks of two random ones. */
		TWO_CHOICES,

		/**
		 * Tasks wait in one queue in the order of the ends of their objectives. Run times
		 * and speeds are known. A batch that cannot meet its objective is refused, and a
		 * task starts only where it does.
		 */
		FULL_KNOWLEDGE

	}

	private static final long RETRY_NANOS = 1_000_000;

	private final VirtualTime time = new VirtualTime();

	private final BatchLoad load;

	private final SplittableRandom random;

	private final BatchOutcomes outcomes;

	private final List<Server> servers = new ArrayList<>();

	private final TreeSet<PendingBatch> central = new TreeSet<>(
			Comparator.comparingLong(PendingBatch::dueNanos).thenComparingInt((batch) -> batch.arrival.number()));

	private long turn;

	private boolean retryScheduled;

	ReferenceSimulation(BatchLoad load, long seed) {
		this.load = load;
		this.random = new SplittableRandom(~seed);
		this.outcomes = new BatchOutcomes(new BatchArrivalPlanner(load, seed).plan(), 0);
		load.endpoints().forEach((model) -> this.servers.add(new Server(model)));
	}

	/**
	 * Runs the load to its end.
	 * @param policy the policy
	 * @return the outcomes of the batches
	 */
	BatchOutcomes run(Policy policy) {
		this.outcomes.arrivals()
			.forEach((arrival) -> this.time.scheduleAt(arrival.nanos(), () -> accept(arrival, policy)));
		this.time.run();
		this.outcomes.setBusyMillicoreNanos(this.servers.stream().mapToDouble((server) -> server.busy).sum());
		return this.outcomes;
	}

	private void accept(BatchArrival arrival, Policy policy) {
		PendingBatch batch = new PendingBatch(arrival);
		if (policy == Policy.FULL_KNOWLEDGE) {
			this.central.add(batch);
			startCentral();
			return;
		}
		for (long work : arrival.workNanos()) {
			Server server = this.servers.get(choose(policy));
			server.queue.add(new PendingTask(batch, work));
			server.startQueued();
		}
	}

	private int choose(Policy policy) {
		int first = this.random.nextInt(this.servers.size());
		if (policy == Policy.ROUND_ROBIN) {
			this.turn++;
			return (int) (this.turn % this.servers.size());
		}
		if (policy == Policy.RANDOM) {
			return first;
		}
		int second = this.random.nextInt(this.servers.size());
		return (this.servers.get(second).queue.size() < this.servers.get(first).queue.size()) ? second : first;
	}

	private void startCentral() {
		for (PendingBatch batch : new ArrayList<>(this.central)) {
			while (!batch.waiting.isEmpty() && startInTime(batch)) {
				batch.waiting.remove();
			}
			if (batch.waiting.isEmpty() || batch.isTooLate(this.time.nanos(), fastestSpeed())) {
				this.central.remove(batch);
			}
		}
		if (!this.central.isEmpty() && !this.retryScheduled) {
			this.retryScheduled = true;
			this.time.scheduleAfter(RETRY_NANOS, () -> {
				this.retryScheduled = false;
				startCentral();
			});
		}
	}

	private boolean startInTime(PendingBatch batch) {
		long work = batch.waiting.element();
		return this.servers.stream()
			.filter((server) -> server.hasRoom(batch) && this.time.nanos() + server.runNanos(work) <= batch.dueNanos())
			.max(Comparator.comparingDouble((server) -> server.model.speed()))
			.map((server) -> server.run(new PendingTask(batch, work)))
			.orElse(false);
	}

	private double fastestSpeed() {
		return this.load.endpoints().stream().mapToDouble(BatchLoad.EndpointModel::speed).max().orElse(1);
	}

	/** A batch of which not all tasks have ended. */
	private static final class PendingBatch {

		private final BatchArrival arrival;

		private final Deque<Long> waiting = new ArrayDeque<>();

		private int unfinished;

		private PendingBatch(BatchArrival arrival) {
			this.arrival = arrival;
			for (long work : arrival.workNanos()) {
				this.waiting.add(work);
			}
			this.unfinished = arrival.workNanos().length;
		}

		private long dueNanos() {
			return this.arrival.nanos() + this.arrival.objectiveNanos();
		}

		private boolean isTooLate(long nowNanos, double speed) {
			return nowNanos + this.waiting.element() / speed > dueNanos();
		}

	}

	private record PendingTask(PendingBatch batch, long workNanos) {

	}

	/** An endpoint. */
	private final class Server {

		private final BatchLoad.EndpointModel model;

		private final Deque<PendingTask> queue = new ArrayDeque<>();

		private long used;

		private double busy;

		private Server(BatchLoad.EndpointModel model) {
			this.model = model;
		}

		private long runNanos(long workNanos) {
			return (long) (workNanos / this.model.speed());
		}

		private boolean hasRoom(PendingBatch batch) {
			return this.used + batch.arrival.kind().millicores() <= this.model.millicores();
		}

		private void startQueued() {
			while (!this.queue.isEmpty() && hasRoom(this.queue.element().batch())) {
				run(this.queue.remove());
			}
		}

		private boolean run(PendingTask task) {
			BatchArrival arrival = task.batch().arrival;
			long millicores = arrival.kind().millicores();
			this.used += millicores;
			this.busy += (double) millicores * runNanos(task.workNanos());
			ReferenceSimulation.this.time.scheduleAfter(runNanos(task.workNanos()), () -> {
				this.used -= millicores;
				task.batch().unfinished--;
				if (task.batch().unfinished == 0) {
					ReferenceSimulation.this.outcomes.record(arrival, true, ReferenceSimulation.this.time.now());
				}
				startQueued();
			});
			return true;
		}

	}

}
