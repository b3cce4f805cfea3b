package io.coriandermux.bench.policy;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * Reference: one queue that knows the true run times and speeds and starts the shortest
 * task first on the fastest free slot, without delay. It has no quotas and refuses
 * nothing.
 */
final class IdealPolicy implements Policy {

	@Override
	public SimulationResult run(ArrivalPlan plan, Fleet fleet) {
		return new Run(plan, fleet).run();
	}

	private static final class Run {

		private final VirtualTime time = new VirtualTime();

		private final TreeSet<TaskArrival> waiting = new TreeSet<>(
				Comparator.comparingLong(TaskArrival::workNanos).thenComparingInt(TaskArrival::id));

		private final TreeSet<Integer> freeRunners;

		private final int[] freeSlots;

		private final Fleet fleet;

		private final SimulationResult result;

		Run(ArrivalPlan plan, Fleet fleet) {
			this.fleet = fleet;
			this.result = new SimulationResult(plan.tasks());
			this.freeSlots = new int[fleet.speeds().length];
			this.freeRunners = new TreeSet<>(Comparator.<Integer>comparingDouble((runner) -> -fleet.speeds()[runner])
				.thenComparing(Comparator.naturalOrder()));
			for (int i = 0; i < this.freeSlots.length; i++) {
				this.freeSlots[i] = fleet.slots();
				this.freeRunners.add(i);
			}
			for (JobArrival job : plan.jobs()) {
				this.time.scheduleAt(job.arrivalNanos(), () -> {
					this.waiting.addAll(job.tasks());
					placeTasks();
				});
			}
		}

		private SimulationResult run() {
			this.time.run();
			return this.result;
		}

		private void placeTasks() {
			while (!this.waiting.isEmpty() && !this.freeRunners.isEmpty()) {
				TaskArrival task = this.waiting.pollFirst();
				int runner = this.freeRunners.first();
				this.freeSlots[runner]--;
				if (this.freeSlots[runner] == 0) {
					this.freeRunners.remove(runner);
				}
				long runNanos = (long) (task.workNanos() / this.fleet.speeds()[runner]);
				this.time.scheduleAfter(runNanos, () -> {
					this.result.recordAnswer(task, this.time.nanos(), runNanos);
					this.freeSlots[runner]++;
					this.freeRunners.add(runner);
					placeTasks();
				});
			}
		}

	}

}
