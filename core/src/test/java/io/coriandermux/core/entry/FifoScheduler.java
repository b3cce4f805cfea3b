package io.coriandermux.core.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.queue.Admission;
import io.coriandermux.core.queue.CreditMessage;
import io.coriandermux.core.queue.Placement;
import io.coriandermux.core.queue.QueuedTask;
import io.coriandermux.core.queue.Scheduler;
import io.coriandermux.core.table.Tables;

/**
 * Scheduler for tests that places tasks in order of arrival on the first guard with a
 * credit.
 */
final class FifoScheduler implements Scheduler {

	private final ArrayDeque<QueuedTask> queue = new ArrayDeque<>();

	private final Map<GuardId, Integer> credits = new LinkedHashMap<>();

	private boolean full;

	void fill() {
		this.full = true;
	}

	int waiting() {
		return this.queue.size();
	}

	@Override
	public void applyTables(Tables tables) {
	}

	@Override
	public void onGuardConnected(GuardInfo guard, Moment now) {
		this.credits.put(guard.guard(), 0);
	}

	@Override
	public void onGuardDisconnected(GuardId guard) {
		this.credits.remove(guard);
	}

	@Override
	public void onGuardDraining(GuardId guard) {
		this.credits.remove(guard);
	}

	@Override
	public Admission offer(List<QueuedTask> tasks, Moment now) {
		if (this.full) {
			return new Admission(false, ReplyCode.OVERLOADED, "the queue is full", 50);
		}
		this.queue.addAll(tasks);
		return Admission.ADMITTED;
	}

	@Override
	public boolean remove(TaskKey task) {
		return this.queue.removeIf((queued) -> queued.task().equals(task));
	}

	@Override
	public void onStartRefused(QueuedTask task, GuardId guard, boolean creditLost, Moment now) {
		this.queue.addFirst(task);
		if (!creditLost) {
			onCreditsGranted(guard, 1);
		}
	}

	@Override
	public void onTaskEnded(TaskKey task, GuardId guard, boolean success, long runNanos, boolean creditReturned,
			Moment now) {
		if (creditReturned) {
			onCreditsGranted(guard, 1);
		}
	}

	@Override
	public void onCreditsGranted(GuardId guard, int count) {
		this.credits.computeIfPresent(guard, (key, held) -> held + count);
	}

	@Override
	public int releaseCredits(GuardId guard, int count) {
		int released = Math.min(count, this.credits.getOrDefault(guard, 0));
		onCreditsGranted(guard, -released);
		return released;
	}

	@Override
	public List<Placement> place(Moment now) {
		List<Placement> placements = new ArrayList<>();
		for (GuardId guard : List.copyOf(this.credits.keySet())) {
			while (this.credits.get(guard) > 0 && !this.queue.isEmpty()) {
				onCreditsGranted(guard, -1);
				placements.add(new Placement(this.queue.poll(), guard, false, this.queue.size()));
			}
		}
		return placements;
	}

	@Override
	public List<QueuedTask> removeExpired(Moment now) {
		List<QueuedTask> expired = this.queue.stream().filter((task) -> task.deadlineNanos() <= now.nanos()).toList();
		this.queue.removeAll(expired);
		return expired;
	}

	@Override
	public List<CreditMessage> creditMessages(Moment now) {
		return List.of();
	}

}
