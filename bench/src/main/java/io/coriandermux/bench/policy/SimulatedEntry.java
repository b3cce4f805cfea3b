package io.coriandermux.bench.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.coriandermux.core.api.Resources;
import io.coriandermux.core.api.TaskSpec;
import io.coriandermux.core.id.AttemptId;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Epoch;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.id.RouteName;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.id.ZoneName;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.message.Answer;
import io.coriandermux.core.message.Credit;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.Recall;
import io.coriandermux.core.message.Refused;
import io.coriandermux.core.message.Release;
import io.coriandermux.core.message.Start;
import io.coriandermux.core.queue.CreditMessage;
import io.coriandermux.core.queue.Placement;
import io.coriandermux.core.queue.PoolScheduler;
import io.coriandermux.core.queue.QueuedTask;
import io.coriandermux.core.queue.SchedulerSettings;
import io.coriandermux.core.table.OwnerShare;
import io.coriandermux.core.table.Pool;
import io.coriandermux.core.table.Tables;

/**
 * An entry that runs the scheduler of the dispatcher.
 */
final class SimulatedEntry {

	private static final PoolName POOL = new PoolName("runners");

	private static final Partition PARTITION = new Partition(0);

	private static final Epoch EPOCH = new Epoch(1);

	private static final byte[] EMPTY = {};

	private static final int MAX_IN_FLIGHT = 100_000;

	private static final long MAX_QUEUE_MILLIS = 120_000;

	/** Slots of each endpoint that are reserved for short work. */
	private static final int SHORT_SLOTS = 1;

	private static final long TICK_INTERVAL_NANOS = 10_000_000L;

	private final int number;

	private final Network network;

	private final PoolScheduler scheduler;

	private final Map<TaskKey, TaskArrival> tasks = new LinkedHashMap<>();

	private final Map<TaskKey, QueuedTask> placed = new LinkedHashMap<>();

	private boolean tickScheduled;

	SimulatedEntry(int number, Network network) {
		this.number = number;
		this.network = network;
		this.scheduler = new PoolScheduler(SchedulerSettings.of(zoneOf(number, network.fleet())));
		Map<OwnerId, OwnerShare> shares = new LinkedHashMap<>();
		for (JobArrival job : network.plan().jobs()) {
			shares.putIfAbsent(new OwnerId(job.tasks().get(0).kind().owner()), new OwnerShare(1, MAX_IN_FLIGHT));
		}
		Pool pool = new Pool(POOL, List.of("runner-*"), shares, SHORT_SLOTS, MAX_QUEUE_MILLIS);
		this.scheduler.applyTables(new Tables(new Revision(1), List.of(), Map.of(POOL, pool)));
	}

	static ZoneName zoneOf(int process, Fleet fleet) {
		return new ZoneName("zone-" + process % fleet.zones());
	}

	static EntryId id(int number) {
		return new EntryId("e" + number);
	}

	static int number(EntryId id) {
		return Integer.parseInt(id.value().substring(1));
	}

	EntryId id() {
		return id(this.number);
	}

	void onGuardConnected(GuardInfo guard) {
		this.scheduler.onGuardConnected(guard, this.network.now());
	}

	void submit(JobArrival job) {
		List<QueuedTask> queued = new ArrayList<>(job.tasks().size());
		JobKey key = new JobKey(new OwnerId(job.tasks().get(0).kind().owner()), "j" + job.id());
		for (TaskArrival task : job.tasks()) {
			TaskSpec spec = new TaskSpec("/" + task.kind().route(), EMPTY, Resources.NONE, task.declaredMillis());
			queued.add(new QueuedTask(new TaskKey(key, queued.size()), PARTITION, new RouteName(task.kind().route()),
					POOL, spec, task.deadlineNanos()));
		}
		if (this.scheduler.offer(queued, this.network.now()).admitted()) {
			for (int i = 0; i < queued.size(); i++) {
				this.tasks.put(queued.get(i).task(), job.tasks().get(i));
			}
		}
		else if (this.network.idleSlots() > 0) {
			this.network.result().refusedWhileIdle += queued.size();
		}
		runScheduler();
	}

	void onMessage(int guard, Message message) {
		GuardId from = this.network.guardId(guard);
		if (message instanceof Answer answer) {
			TaskArrival task = this.tasks.remove(answer.task());
			this.placed.remove(answer.task());
			this.network.result().recordAnswer(task, this.network.time().nanos(), answer.runNanos());
			this.scheduler.onTaskEnded(answer.task(), from, true, answer.runNanos(), answer.creditReturned(),
					this.network.now());
		}
		else if (message instanceof Refused refused) {
			this.scheduler.onStartRefused(this.placed.remove(refused.task()), from, true, this.network.now());
		}
		else if (message instanceof Credit credit) {
			this.scheduler.onCreditsGranted(from, credit.count());
		}
		else if (message instanceof Recall recall) {
			int released = this.scheduler.releaseCredits(from, recall.count());
			this.network.sendToGuard(this.number, guard, new Release(released));
		}
		runScheduler();
	}

	private void runScheduler() {
		for (QueuedTask task : this.scheduler.removeExpired(this.network.now())) {
			this.tasks.remove(task.task());
		}
		for (Placement placement : this.scheduler.place(this.network.now())) {
			QueuedTask task = placement.task();
			this.placed.put(task.task(), task);
			Start start = new Start(task.task(), new AttemptId(this.tasks.get(task.task()).id()), PARTITION, EPOCH, 0,
					task.spec().path(), EMPTY, MAX_QUEUE_MILLIS, placement.shortWork(), placement.queued());
			this.network.sendToGuard(this.number, this.network.guardNumber(placement.guard()), start);
		}
		for (CreditMessage message : this.scheduler.creditMessages(this.network.now())) {
			this.network.sendToGuard(this.number, this.network.guardNumber(message.guard()), message.message());
		}
		if (!this.tickScheduled && !this.tasks.isEmpty()) {
			this.tickScheduled = true;
			this.network.time().scheduleAfter(TICK_INTERVAL_NANOS, () -> {
				this.tickScheduled = false;
				runScheduler();
			});
		}
	}

}
