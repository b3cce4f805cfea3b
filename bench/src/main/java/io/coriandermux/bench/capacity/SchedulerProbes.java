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

	private static final List<Integer> TASKS = List.of(20_000, 40_000, 80_000);

	private static final List<Integer> GUARDS = List.of(500, 1_000, 2_000, 4_000);

	private static final int GUARDS_OF_AN_ENTRY = 512;

	private static final long RUN_NANOS = 100_000_000L;

	private static final long DEADLINE_NANOS = 60_000_000_000L;

	private static final Moment START = new Moment(0, 0);

	private SchedulerProbes() {
	}

	static List<CapacityProbe> all() {
		return List.of(new CapacityProbe("scheduler processor time", "task", "ns", TASKS, SchedulerProbes::tasks),
				new CapacityProbe("scheduler memory", "guard", "bytes", GUARDS,
						(size) -> Cost.retainedBytes(() -> scheduler(size))));
	}

	private static double tasks(int size) {
		PoolScheduler scheduler = scheduler(GUARDS_OF_AN_ENTRY);
		return Cost.processorNanos(() -> {
			Moment now = START;
			for (int number = 0; number < size; number++) {
				scheduler.offer(List.of(task(number, now)), now);
				for (Placement placement : scheduler.place(now)) {
					now = now.plusNanos(RUN_NANOS / GUARDS_OF_AN_ENTRY);
					scheduler.onTaskEnded(placement.task().task(), placement.guard(), true, RUN_NANOS, true, now);
				}
				scheduler.creditMessages(now);
			}
		});
	}

	private static QueuedTask task(int number, Moment now) {
		JobKey job = new JobKey(Fleet.OWNER, "job-" + number);
		TaskSpec spec = new TaskSpec(Fleet.PATH, new byte[0], Resources.NONE, 0);
		return new QueuedTask(new TaskKey(job, 0), new Partition(number % Partition.COUNT), Fleet.ROUTE, Fleet.POOL,
				spec, now.nanos() + DEADLINE_NANOS);
	}

	private static PoolScheduler scheduler(int guards) {
		PoolScheduler scheduler = new PoolScheduler(SchedulerSettings.of(new ZoneName("zone-0")));
		scheduler.applyTables(Fleet.tables());
		for (GuardInfo guard : Fleet.guards(guards)) {
			scheduler.onGuardConnected(guard, START);
			scheduler.onCreditsGranted(guard.guard(), Fleet.SLOTS);
		}
		return scheduler;
	}

}
