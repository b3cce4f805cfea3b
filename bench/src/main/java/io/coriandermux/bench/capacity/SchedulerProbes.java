package io.coriandermux.bench.capacity;

import java.util.List;

import io.coriandermux.core.api.Resources;
import io.coriandermux.core.api.TaskSpec;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.id.ZoneName;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.queue.Placement;
import io.coriandermux.core.queue.PoolScheduler;
import io.coriandermux.core.queue.QueuedTask;
import io.coriandermux.core.queue.SchedulerSettings;

/**
 * Probes of the scheduler of an entry.
 */
final class SchedulerProbes {

	private static final List<Integer> TASK_COUNTS = List.of(20_000, 40_000, 80_000);

	private static final List<Integer> GUARD_COUNTS = List.of(500, 1_000, 2_000, 4_000);

	private static final int FIXED_GUARD_COUNT = 512;

	private static final long RUN_NANOS = 100_000_000L;

	private static final long DEADLINE_NANOS = 60_000_000_000L;

	private static final Moment START = new Moment(0, 0);

	private SchedulerProbes() {
	}

	static List<CapacityProbe> all() {
		return List.of(
				new CapacityProbe("scheduler processor time", "task", "ns", TASK_COUNTS,
						SchedulerProbes::schedulingNanos),
				new CapacityProbe("scheduler memory", "guard", "bytes", GUARD_COUNTS,
						(size) -> CostMeter.retainedBytes(() -> createScheduler(size))));
	}

	private static double schedulingNanos(int size) {
		PoolScheduler scheduler = createScheduler(FIXED_GUARD_COUNT);
		return CostMeter.processorNanos(() -> {
			Moment now = START;
			for (int number = 0; number < size; number++) {
				scheduler.offer(List.of(createTask(number, now)), now);
				for (Placement placement : scheduler.place(now)) {
					now = now.plusNanos(RUN_NANOS / FIXED_GUARD_COUNT);
					scheduler.onTaskEnded(placement.task().task(), placement.guard(), true, RUN_NANOS, true, now);
				}
				scheduler.creditMessages(now);
			}
		});
	}

	private static QueuedTask createTask(int number, Moment now) {
		JobKey job = new JobKey(FleetFixture.OWNER, "job-" + number);
		TaskSpec spec = new TaskSpec(FleetFixture.PATH, new byte[0], Resources.NONE, 0);
		return new QueuedTask(new TaskKey(job, 0), new Partition(number % Partition.COUNT), FleetFixture.ROUTE,
				FleetFixture.POOL, spec, now.nanos() + DEADLINE_NANOS);
	}

	private static PoolScheduler createScheduler(int guards) {
		PoolScheduler scheduler = new PoolScheduler(SchedulerSettings.of(new ZoneName("zone-0")));
		scheduler.applyTables(FleetFixture.tables());
		for (GuardInfo guard : FleetFixture.guards(guards)) {
			scheduler.onGuardConnected(guard, START);
			scheduler.onCreditsGranted(guard.guard(), FleetFixture.SLOTS);
		}
		return scheduler;
	}

}
