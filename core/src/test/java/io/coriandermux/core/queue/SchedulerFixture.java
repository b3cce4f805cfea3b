package io.coriandermux.core.queue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.coriandermux.core.api.Resources;
import io.coriandermux.core.api.TaskSpec;
import io.coriandermux.core.id.EndpointName;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.id.RackName;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.id.RouteName;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.id.ZoneName;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.table.OwnerShare;
import io.coriandermux.core.table.Pool;
import io.coriandermux.core.table.Tables;

/**
 * A scheduler with one pool, guards of eight slots and a clock that tests advance.
 */
final class SchedulerFixture {

	static final long NANOS_PER_MILLI = 1_000_000L;

	static final Resources LARGE = new Resources(8, 8_000, 0);

	final PoolScheduler scheduler = new PoolScheduler(SchedulerSettings.of(new ZoneName("thess-a")));

	Moment now = new Moment(0, 0);

	private int jobCount;

	SchedulerFixture(int shortSlots, Map<String, OwnerShare> shares) {
		Map<OwnerId, OwnerShare> byOwner = new LinkedHashMap<>();
		shares.forEach((name, share) -> byOwner.put(new OwnerId(name), share));
		Pool pool = new Pool(new PoolName("runners"), List.of("run-*"), byOwner, shortSlots, 60_000);
		this.scheduler.applyTables(new Tables(new Revision(1), List.of(), Map.of(pool.name(), pool)));
	}

	static SchedulerFixture withOneOwner() {
		return new SchedulerFixture(0, Map.of("guild", new OwnerShare(1, 1_000)));
	}

	void addGuard(String name, int credits) {
		GuardInfo info = new GuardInfo(new GuardId(name), new Incarnation(1), "127.0.0.1", 1, new ZoneName("thess-a"),
				new RackName("r"), new EndpointName("run-" + name), 8, LARGE);
		this.scheduler.onGuardConnected(info, this.now);
		this.scheduler.onCreditsGranted(info.guard(), credits);
	}

	void advance(long millis) {
		this.now = this.now.plusNanos(millis * NANOS_PER_MILLI);
	}

	QueuedTask newTask(String owner, String route, long declaredMillis) {
		this.jobCount++;
		return newTask(owner, route, declaredMillis, Resources.NONE, 60_000);
	}

	QueuedTask newTask(String owner, String route, long declaredMillis, Resources needs, long deadlineMillis) {
		this.jobCount++;
		TaskSpec spec = new TaskSpec("/" + route, new byte[0], needs, declaredMillis);
		return new QueuedTask(new TaskKey(new JobKey(new OwnerId(owner), "job" + this.jobCount), 0), new Partition(0),
				new RouteName(route), new PoolName("runners"), spec,
				this.now.nanos() + deadlineMillis * NANOS_PER_MILLI);
	}

	QueuedTask offer(String owner, String route, long declaredMillis) {
		QueuedTask task = newTask(owner, route, declaredMillis);
		Admission admission = this.scheduler.offer(List.of(task), this.now);
		if (!admission.admitted()) {
			throw new AssertionError(admission.reason());
		}
		return task;
	}

	List<Placement> place() {
		return this.scheduler.place(this.now);
	}

	void endTask(Placement placement, boolean success, long runMillis) {
		this.scheduler.onTaskEnded(placement.task().task(), placement.guard(), success, runMillis * NANOS_PER_MILLI,
				true, this.now);
	}

	/**
	 * Runs tasks one after the other, each to its end.
	 * @param count number of tasks
	 * @return the names of the guards in the order of the tasks
	 */
	List<String> runOneByOne(String owner, String route, long runMillis, int count, String failingGuard) {
		List<String> guards = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			offer(owner, route, 0);
			for (Placement placement : place()) {
				guards.add(placement.guard().value());
				advance(runMillis);
				endTask(placement, !placement.guard().value().equals(failingGuard), runMillis);
			}
		}
		return guards;
	}

}
