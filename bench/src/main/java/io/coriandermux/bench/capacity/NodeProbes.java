package io.coriandermux.bench.capacity;

import java.util.List;

/**
 * Probes of all decisions of an entry and its guards for a task.
 */
final class NodeProbes {

	private static final List<Integer> TASK_COUNTS = List.of(5_000, 10_000, 20_000);

	private static final List<Integer> GUARD_COUNTS = List.of(32, 64, 128, 256);

	private static final int FIXED_GUARD_COUNT = 32;

	private static final int FIXED_TASK_COUNT = 4_000;

	private static final int TASKS_PER_HEARTBEAT = 1_000;

	/** Submits 4,000 tasks per second of the fixture's clock. */
	private static final long TASK_INTERVAL_NANOS = 250_000L;

	private NodeProbes() {
	}

	static List<CapacityProbe> all() {
		return List.of(
				new CapacityProbe("entry and guard decisions, 32 guards", "task", "ns", TASK_COUNTS,
						(size) -> decisionNanos(FIXED_GUARD_COUNT, size)),
				new CapacityProbe("entry and guard decisions, 4,000 tasks", "guard of the entry", "ns", GUARD_COUNTS,
						(size) -> decisionNanos(size, FIXED_TASK_COUNT)),
				new CapacityProbe("job records and ledgers", "task", "bytes", TASK_COUNTS,
						(size) -> CostMeter.retainedBytes(() -> runTasks(FIXED_GUARD_COUNT, size))),
				new CapacityProbe("links of an entry and idle guards, both ends", "guard", "bytes", GUARD_COUNTS,
						(size) -> CostMeter.retainedBytes(() -> new NodeFixture(size))));
	}

	private static double decisionNanos(int guards, int tasks) {
		NodeFixture fixture = new NodeFixture(guards);
		return CostMeter.processorNanos(() -> submitTasks(fixture, tasks));
	}

	private static NodeFixture runTasks(int guards, int tasks) {
		NodeFixture fixture = new NodeFixture(guards);
		submitTasks(fixture, tasks);
		return fixture;
	}

	private static void submitTasks(NodeFixture fixture, int tasks) {
		for (int number = 0; number < tasks; number++) {
			fixture.submit(number);
			fixture.advanceClock(TASK_INTERVAL_NANOS);
			if (number % TASKS_PER_HEARTBEAT == 0) {
				fixture.deliverHeartbeats();
			}
		}
		if (fixture.completedJobs() != tasks) {
			throw new ProbeException(fixture.completedJobs() + " of " + tasks + " tasks are complete, last reply "
					+ fixture.lastReply() + ", " + fixture.status(), null);
		}
	}

}
