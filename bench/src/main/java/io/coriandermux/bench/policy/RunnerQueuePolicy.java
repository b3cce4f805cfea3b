package io.coriandermux.bench.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;

/**
 * Baseline: each entry sends every task immediately to a runner that it picks, where the
 * task waits in a FIFO queue. No message is wasted.
 */
final class RunnerQueuePolicy implements Policy {

	private static final long SEED = 99;

	private final Choice choice;

	/**
	 * Creates a policy.
	 * @param choice how an entry picks the runner
	 */
	RunnerQueuePolicy(Choice choice) {
		this.choice = choice;
	}

	@Override
	public SimulationResult run(ArrivalPlan plan, Fleet fleet) {
		return new Run(plan, fleet, this.choice).run();
	}

	/**
	 * How an entry picks the runner of a task.
	 */
	enum Choice {

		/** A random runner. */
		RANDOM,

		/** The runners in turn. */
		ROUND_ROBIN,

		/** Of two random runners, the one with fewer unanswered tasks of this entry. */
		TWO_CHOICES

	}

	private static final class Run {

		private final SplittableRandom random = new SplittableRandom(SEED);

		private final VirtualTime time = new VirtualTime();

		private final Fleet fleet;

		private final Choice choice;

		private final SimulationResult result;

		private final int[] lastRunner;

		private final int[][] unanswered;

		private final int[] running;

		private final List<Queue<PendingTask>> queues = new ArrayList<>();

		Run(ArrivalPlan plan, Fleet fleet, Choice choice) {
			this.fleet = fleet;
			this.choice = choice;
			this.result = new SimulationResult(plan.tasks());
			int runners = fleet.speeds().length;
			this.lastRunner = new int[fleet.entryWeights().length];
			this.unanswered = new int[fleet.entryWeights().length][runners];
			this.running = new int[runners];
			for (int i = 0; i < runners; i++) {
				this.queues.add(new ArrayDeque<>());
			}
			for (JobArrival job : plan.jobs()) {
				this.time.scheduleAt(job.arrivalNanos(),
						() -> job.tasks().forEach((task) -> sendTask(job.entry(), task)));
			}
		}

		private SimulationResult run() {
			this.time.run();
			return this.result;
		}

		private void sendTask(int entry, TaskArrival task) {
			int runner = pickRunner(entry);
			this.unanswered[entry][runner]++;
			this.result.messages += 2;
			this.time.scheduleAfter(this.fleet.delayNanos(entry, runner), () -> {
				this.queues.get(runner).add(new PendingTask(entry, task));
				startTasks(runner);
			});
		}

		private int pickRunner(int entry) {
			int runners = this.fleet.speeds().length;
			if (this.choice == Choice.ROUND_ROBIN) {
				this.lastRunner[entry] = (this.lastRunner[entry] + 1) % runners;
				return this.lastRunner[entry];
			}
			int first = this.random.nextInt(runners);
			if (this.choice == Choice.RANDOM) {
				return first;
			}
			int second = this.random.nextInt(runners);
			int[] counts = this.unanswered[entry];
			return (counts[second] < counts[first]) ? second : first;
		}

		private void startTasks(int runner) {
			while (this.running[runner] < this.fleet.slots() && !this.queues.get(runner).isEmpty()) {
				PendingTask pending = this.queues.get(runner).poll();
				this.running[runner]++;
				long runNanos = (long) (pending.task.workNanos() / this.fleet.speeds()[runner]);
				this.time.scheduleAfter(runNanos, () -> {
					this.running[runner]--;
					startTasks(runner);
					this.time.scheduleAfter(this.fleet.delayNanos(pending.entry, runner), () -> {
						this.unanswered[pending.entry][runner]--;
						this.result.recordAnswer(pending.task, this.time.nanos(), runNanos);
					});
				});
			}
		}

	}

	private record PendingTask(int entry, TaskArrival task) {
	}

}
