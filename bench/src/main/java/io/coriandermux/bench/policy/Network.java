package io.coriandermux.bench.policy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.coriandermux.core.id.AttemptId;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.message.Answer;
import io.coriandermux.core.message.CancelTask;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.Start;

/**
 * Delivers messages between the simulated processes after the delay between their zones,
 * and counts them. Messages of a link keep their order because its delay is constant.
 */
final class Network {

	private final VirtualTime time;

	private final Fleet fleet;

	private final ArrivalPlan plan;

	private final boolean central;

	private final SimulationResult result;

	private final long[] workNanos;

	private final Map<GuardId, Integer> guardNumbers = new TreeMap<>();

	private List<SimulatedEntry> entries = List.of();

	private List<SimulatedGuard> guards = List.of();

	Network(VirtualTime time, Fleet fleet, ArrivalPlan plan, boolean central) {
		this.time = time;
		this.fleet = fleet;
		this.plan = plan;
		this.central = central;
		this.result = new SimulationResult(plan.tasks());
		this.workNanos = new long[plan.tasks()];
		plan.jobs().forEach((job) -> job.tasks().forEach((task) -> this.workNanos[task.id()] = task.workNanos()));
	}

	void connect(List<SimulatedEntry> allEntries, List<SimulatedGuard> allGuards) {
		this.entries = allEntries;
		this.guards = allGuards;
		for (SimulatedGuard guard : allGuards) {
			this.guardNumbers.put(guard.info().guard(), this.guardNumbers.size());
			for (SimulatedEntry entry : allEntries) {
				entry.onGuardConnected(guard.info());
			}
			guard.onEntriesConnected(allEntries.stream().map(SimulatedEntry::id).toList());
		}
	}

	VirtualTime time() {
		return this.time;
	}

	Moment now() {
		return this.time.now();
	}

	Fleet fleet() {
		return this.fleet;
	}

	SimulationResult result() {
		return this.result;
	}

	ArrivalPlan plan() {
		return this.plan;
	}

	GuardId guardId(int number) {
		return this.guards.get(number).info().guard();
	}

	int guardNumber(GuardId guard) {
		return this.guardNumbers.get(guard);
	}

	/**
	 * Returns the true work of a task. The simulated endpoint looks it up by the attempt,
	 * whose id is the number of the task.
	 * @param attempt the attempt
	 * @return the run time at speed 1 in nanoseconds
	 */
	long workNanos(AttemptId attempt) {
		return this.workNanos[(int) attempt.value()];
	}

	int idleSlots() {
		return this.guards.stream().mapToInt(SimulatedGuard::idleSlots).sum();
	}

	void sendToGuard(int entry, int guard, Message message) {
		countMessage(message);
		deliver(entry, guard, () -> this.guards.get(guard).onMessage(entry, message));
	}

	void sendToEntry(int guard, int entry, Message message) {
		countMessage(message);
		deliver(entry, guard, () -> this.entries.get(entry).onMessage(guard, message));
	}

	/**
	 * Counts a message that had no effect, such as a refused start, as wasted.
	 */
	void countWastedMessage() {
		if (isAfterWarmUp()) {
			this.result.wastedMessages++;
		}
	}

	private void deliver(int entry, int guard, Runnable delivery) {
		if (this.central) {
			this.time.scheduleAfter(0, delivery);
		}
		else {
			this.time.scheduleAfter(this.fleet.delayNanos(entry, guard), delivery);
		}
	}

	private void countMessage(Message message) {
		if (!isAfterWarmUp()) {
			return;
		}
		this.result.messages++;
		if (!(message instanceof Start) && !(message instanceof Answer) && !(message instanceof CancelTask)) {
			this.result.wastedMessages++;
			this.result.wastedByType.merge(message.getClass().getSimpleName(), 1L, Long::sum);
		}
	}

	private boolean isAfterWarmUp() {
		return this.time.nanos() >= this.plan.warmUpEndNanos();
	}

}
