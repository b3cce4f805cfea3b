package io.coriandermux.core.queue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import io.coriandermux.core.admission.AdmissionRules;
import io.coriandermux.core.admission.Denial;
import io.coriandermux.core.admission.QueueState;
import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.estimate.RunTimeEstimate;
import io.coriandermux.core.estimate.RunTimeEstimator;
import io.coriandermux.core.estimate.SpeedBaseline;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.message.Demand;
import io.coriandermux.core.outlier.OutlierEjection;
import io.coriandermux.core.place.GuardRanking;
import io.coriandermux.core.place.GuardState;
import io.coriandermux.core.table.Pool;
import io.coriandermux.core.table.Tables;

/**
 * The scheduler of an entry. Each decision takes time logarithmic in the number of
 * waiting tasks, owners and guards.
 */
public final class PoolScheduler implements Scheduler {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final SchedulerSettings settings;

	private final AdmissionRules rules;

	private final RunTimeEstimator estimator = new RunTimeEstimator();

	private final SpeedBaseline speedBaseline = new SpeedBaseline();

	private final OutlierEjection ejection = new OutlierEjection();

	private final Map<PoolName, PoolQueue> pools = new LinkedHashMap<>();

	private final Map<GuardId, GuardState> guards = new TreeMap<>();

	private final Map<GuardId, Long> lastDemandNanos = new HashMap<>();

	private final Map<TaskKey, WaitingTask> waiting = new HashMap<>();

	private final Map<TaskKey, StartedTask> started = new HashMap<>();

	private final TreeSet<WaitingTask> byExpiry = new TreeSet<>(WaitingTask.BY_EXPIRY);

	private final TreeSet<StartedTask> byOverrun = new TreeSet<>(StartedTask.BY_OVERRUN);

	/**
	 * Pools in which a task may have become placeable since the last call of
	 * {@link #place}.
	 */
	private final Set<PoolQueue> changedPools = new LinkedHashSet<>();

	private long sequence;

	private long nowNanos;

	/**
	 * Creates a scheduler without tables and guards.
	 * @param settings the settings
	 */
	public PoolScheduler(SchedulerSettings settings) {
		this.settings = settings;
		this.rules = new AdmissionRules(settings.maxQueuedTasks());
	}

	@Override
	public void applyTables(Tables tables) {
		for (Pool pool : tables.pools().values()) {
			PoolQueue queue = this.pools.get(pool.name());
			if (queue == null) {
				queue = new PoolQueue(pool, this.settings.fairnessFactor());
				this.pools.put(pool.name(), queue);
			}
			else {
				queue.updatePool(pool);
				queue.ranking.updateShortSlots(pool.shortSlots(), this.nowNanos);
			}
		}
		for (PoolQueue queue : new ArrayList<>(this.pools.values())) {
			boolean configured = tables.pools().containsKey(queue.pool().name());
			for (GuardState guard : this.guards.values()) {
				boolean ranked = guard.rankings().contains(queue.ranking);
				boolean assigned = configured && queue.pool().contains(guard.info().endpoint());
				if (ranked && !assigned) {
					queue.ranking.remove(guard);
				}
				else if (assigned && !ranked) {
					queue.ranking.add(guard, this.nowNanos);
				}
			}
			if (!configured && queue.waiting() == 0) {
				this.pools.remove(queue.pool().name());
			}
			queue.onCapacitiesChanged();
			this.changedPools.add(queue);
		}
	}

	@Override
	public void onGuardConnected(GuardInfo info, Moment now) {
		this.nowNanos = now.nanos();
		onGuardDisconnected(info.guard());
		GuardState guard = new GuardState(info, this.settings.zone(), this.settings.crossZoneNanos(),
				this.speedBaseline);
		this.guards.put(info.guard(), guard);
		for (PoolQueue queue : this.pools.values()) {
			if (queue.pool().contains(info.endpoint())) {
				queue.ranking.add(guard, now.nanos());
				queue.onCapacitiesChanged();
			}
		}
	}

	@Override
	public void onGuardDisconnected(GuardId id) {
		GuardState guard = this.guards.remove(id);
		if (guard == null) {
			return;
		}
		guard.speed().removeFromBaseline();
		this.lastDemandNanos.remove(id);
		for (GuardRanking ranking : new ArrayList<>(guard.rankings())) {
			ranking.remove(guard);
		}
		for (PoolQueue queue : this.pools.values()) {
			queue.onCapacitiesChanged();
		}
	}

	@Override
	public void onGuardDraining(GuardId id) {
		GuardState guard = this.guards.get(id);
		if (guard != null) {
			guard.startDraining();
			onGuardUpdated(guard);
		}
	}

	@Override
	public Admission offer(List<QueuedTask> tasks, Moment now) {
		this.nowNanos = now.nanos();
		Map<PoolName, Integer> counts = new LinkedHashMap<>();
		for (QueuedTask task : tasks) {
			counts.merge(task.pool(), 1, Integer::sum);
		}
		List<WaitingTask> accepted = new ArrayList<>(tasks.size());
		for (Map.Entry<PoolName, Integer> count : counts.entrySet()) {
			PoolQueue queue = this.pools.get(count.getKey());
			if (queue == null || queue.ranking.isEmpty()) {
				return refusal(new Denial(ReplyCode.NO_ENDPOINT, "the pool has no live endpoint", 1000));
			}
			OwnerId owner = tasks.get(0).task().job().owner();
			QueueState state = queue.queueState(owner, queue.ranking.slots());
			Optional<Denial> denial = this.rules.checkCount(state, count.getValue());
			for (int i = 0; i < tasks.size() && denial.isEmpty(); i++) {
				if (tasks.get(i).pool().equals(count.getKey())) {
					denial = checkTask(tasks.get(i), queue, state, accepted);
				}
			}
			if (denial.isPresent()) {
				return refusal(denial.get());
			}
		}
		accepted.forEach(this::enqueue);
		return Admission.ADMITTED;
	}

	private Optional<Denial> checkTask(QueuedTask task, PoolQueue queue, QueueState state, List<WaitingTask> accepted) {
		if (!queue.ranking.hasCapacityFor(task.spec().needs())) {
			return Optional.of(new Denial(ReplyCode.IMPOSSIBLE, "no endpoint of the pool is large enough", 0));
		}
		RunTimeEstimate estimate = this.estimator.estimate(task.route(), task.task().job().owner(),
				task.spec().declaredMillis());
		boolean shortWork = estimate.expectedNanos() < this.settings.longTaskMillis() * NANOS_PER_MILLI;
		long orderKey = this.nowNanos + this.settings.agingNanos(estimate.expectedNanos());
		this.sequence++;
		accepted.add(new WaitingTask(task, queue, estimate, shortWork, orderKey, this.sequence));
		return this.rules.checkTime(state, estimate, task.deadlineNanos() - this.nowNanos,
				queue.pool().maxQueueMillis());
	}

	private static Admission refusal(Denial denial) {
		return new Admission(false, denial.code(), denial.reason(), denial.retryAfterMillis());
	}

	private void enqueue(WaitingTask task) {
		this.waiting.put(task.task.task(), task);
		this.byExpiry.add(task);
		task.queue.add(task);
		this.changedPools.add(task.queue);
	}

	@Override
	public boolean remove(TaskKey task) {
		WaitingTask found = this.waiting.remove(task);
		if (found == null) {
			return false;
		}
		this.byExpiry.remove(found);
		found.queue.remove(found);
		return true;
	}

	@Override
	public void onStartRefused(QueuedTask task, GuardId id, boolean creditLost, Moment now) {
		this.nowNanos = now.nanos();
		StartedTask found = this.started.remove(task.task());
		if (found == null) {
			return;
		}
		GuardState guard = this.guards.get(id);
		if (guard != null && guard == found.guard) {
			guard.health().onTaskWithdrawn();
			removeFromGuard(found);
			guard.addCredits(creditLost ? 0 : 1);
			onGuardUpdated(guard);
		}
		else {
			this.byOverrun.remove(found);
		}
		found.waiting.queue.onTaskEnded(found.owner, -found.waiting.estimate.expectedNanos());
		WaitingTask previous = found.waiting;
		this.sequence++;
		enqueue(new WaitingTask(task, previous.queue, previous.estimate, previous.shortWork, Long.MIN_VALUE,
				this.sequence));
	}

	@Override
	public void onTaskEnded(TaskKey task, GuardId id, boolean success, long runNanos, boolean creditReturned,
			Moment now) {
		this.nowNanos = now.nanos();
		StartedTask found = this.started.remove(task);
		if (found == null) {
			return;
		}
		RunTimeEstimate estimate = found.waiting.estimate;
		QueuedTask queued = found.waiting.task;
		GuardState guard = found.guard;
		found.waiting.queue.onTaskEnded(found.owner, (double) runNanos - estimate.expectedNanos());
		this.changedPools.add(found.waiting.queue);
		if (success) {
			if (estimate.learned()) {
				guard.speed().observe(estimate.typicalNanos(), runNanos);
			}
			this.estimator.observe(queued.route(), task.job().owner(), (long) (runNanos / guard.speed().slowness()));
		}
		removeFromGuard(found);
		if (this.guards.get(id) != guard) {
			return;
		}
		this.ejection.onTaskEnded(guard.health(), found.waiting.queue.ranking::health, success, now.nanos());
		guard.addCredits(creditReturned ? 1 : 0);
		onGuardUpdated(guard);
	}

	@Override
	public void onCreditsGranted(GuardId id, int count) {
		GuardState guard = this.guards.get(id);
		if (guard != null) {
			guard.addCredits(count);
			onGuardUpdated(guard);
		}
	}

	@Override
	public int releaseCredits(GuardId id, int count) {
		GuardState guard = this.guards.get(id);
		if (guard == null) {
			return 0;
		}
		int released = Math.min(count, guard.credits());
		guard.addCredits(-released);
		onGuardUpdated(guard);
		return released;
	}

	@Override
	public List<Placement> place(Moment now) {
		this.nowNanos = now.nanos();
		while (!this.byOverrun.isEmpty() && this.byOverrun.first().overrunsAtNanos <= now.nanos()) {
			StartedTask overrunning = this.byOverrun.pollFirst();
			overrunning.longWork = true;
			overrunning.guard.markTaskAsLong();
			onGuardUpdated(overrunning.guard);
		}
		if (this.changedPools.isEmpty()) {
			return List.of();
		}
		List<Placement> placements = new ArrayList<>();
		for (PoolQueue queue : this.changedPools) {
			PoolQueue.Choice choice = (queue.waiting() > 0) ? queue.selectNext(now.nanos()) : null;
			while (choice != null) {
				placements.add(start(choice, queue));
				choice = queue.selectNext(now.nanos());
			}
		}
		this.changedPools.clear();
		return placements;
	}

	private Placement start(PoolQueue.Choice choice, PoolQueue queue) {
		WaitingTask task = choice.waiting();
		GuardState guard = choice.guard();
		this.waiting.remove(task.task.task());
		this.byExpiry.remove(task);
		queue.start(task);
		long limit = Math.max(this.settings.longTaskMillis() * NANOS_PER_MILLI, task.estimate.expectedNanos());
		StartedTask placed = new StartedTask(task, guard, this.nowNanos + limit);
		this.started.put(task.task.task(), placed);
		if (task.shortWork) {
			this.byOverrun.add(placed);
		}
		guard.health().onTaskPlaced();
		guard.addCredits(-1);
		guard.addStarted(1, placed.longWork);
		updateRankings(guard);
		return new Placement(task.task, guard.info().guard(), task.shortWork, queue.waiting());
	}

	@Override
	public List<QueuedTask> removeExpired(Moment now) {
		this.nowNanos = now.nanos();
		List<QueuedTask> expired = new ArrayList<>();
		while (!this.byExpiry.isEmpty() && this.byExpiry.first().expiresAtNanos < now.nanos()) {
			QueuedTask task = this.byExpiry.first().task;
			remove(task.task());
			expired.add(task);
		}
		return expired;
	}

	@Override
	public List<CreditMessage> creditMessages(Moment now) {
		List<CreditMessage> messages = new ArrayList<>();
		for (PoolQueue queue : this.pools.values()) {
			if (queue.waiting() > 0) {
				addDemands(queue, now.nanos(), messages);
			}
		}
		return messages;
	}

	private void addDemands(PoolQueue queue, long nanos, Collection<CreditMessage> messages) {
		for (GuardState guard : queue.ranking.guards()) {
			GuardId id = guard.info().guard();
			Long last = this.lastDemandNanos.get(id);
			boolean due = last == null || nanos - last >= this.settings.demandIntervalNanos();
			if (due && guard.isServing() && guard.credits() + guard.startedCount() == 0) {
				this.lastDemandNanos.put(id, nanos);
				messages.add(new CreditMessage(id, new Demand(queue.waiting())));
			}
		}
	}

	private void removeFromGuard(StartedTask task) {
		this.byOverrun.remove(task);
		task.guard.addStarted(-1, task.longWork);
	}

	private void onGuardUpdated(GuardState guard) {
		updateRankings(guard);
		for (PoolQueue queue : this.pools.values()) {
			if (guard.rankings().contains(queue.ranking)) {
				this.changedPools.add(queue);
			}
		}
	}

	private void updateRankings(GuardState guard) {
		for (GuardRanking ranking : guard.rankings()) {
			ranking.update(guard, this.nowNanos);
		}
	}

}
