package io.coriandermux.bench.batch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import io.coriandermux.core.dispatch.BatchAnswer;
import io.coriandermux.core.dispatch.BatchDispatcher;
import io.coriandermux.core.dispatch.BatchRequest;
import io.coriandermux.core.dispatch.BatchVerdict;
import io.coriandermux.core.dispatch.CallerRef;
import io.coriandermux.core.dispatch.DispatchChannels;
import io.coriandermux.core.dispatch.DispatchSettings;
import io.coriandermux.core.dispatch.TaskGroup;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.RunEnded;
import io.coriandermux.core.message.StartRun;
import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.core.run.RunOutcome;

/**
 * An entry that runs the batch dispatcher, and its callers. A caller whose connection
 * breaks sends its batch again, to the next entry that serves.
 */
final class SimulatedEntry {

	private static final long MEMORY_MB = 64;

	private static final long RESEND_NANOS = 1_300_000_000L;

	private static final long CALLER_TIMEOUT_MILLIS = 37_000;

	private final int number;

	private final BatchSimulation simulation;

	private final Map<CallerRef, BatchArrival> pending = new LinkedHashMap<>();

	private BatchDispatcher dispatcher;

	private long incarnation;

	private long lastCaller;

	SimulatedEntry(int number, BatchSimulation simulation) {
		this.number = number;
		this.simulation = simulation;
	}

	EntryId id() {
		return new EntryId("entry-" + this.number);
	}

	Incarnation incarnation() {
		return new Incarnation(this.incarnation);
	}

	boolean hasPendingBatch() {
		return !this.pending.isEmpty();
	}

	boolean isUp() {
		return this.dispatcher != null;
	}

	void start() {
		this.incarnation++;
		this.dispatcher = new BatchDispatcher(new EntryIncarnation(id(), incarnation()), DispatchSettings.defaults(), 1,
				new DispatchChannels(this::onAnswer, this::send, (entry, message) -> {
				}, (notice) -> {
				}), this.simulation.time().now());
		this.dispatcher.applyRoutes(this.simulation.routes());
		this.simulation.guards().forEach((guard) -> guard.connect(this));
	}

	void stop() {
		this.dispatcher = null;
		this.pending.values()
			.forEach((arrival) -> this.simulation.time().scheduleAfter(RESEND_NANOS, () -> submit(arrival)));
		this.pending.clear();
	}

	void submit(BatchArrival arrival) {
		if (!isUp()) {
			this.simulation.time().scheduleAfter(RESEND_NANOS, () -> submit(arrival));
			return;
		}
		this.lastCaller++;
		CallerRef caller = new CallerRef(this.lastCaller);
		this.pending.put(caller, arrival);
		TaskGroup tasks = new TaskGroup(arrival.workNanos().length,
				new ResourceAmounts(arrival.kind().millicores(), MEMORY_MB, 0), arrival.declaredMillis(), "", "", 0);
		this.dispatcher.submit(caller, BatchSimulation.HOST, "/" + arrival.kind().name() + "/" + arrival.id(),
				new BatchRequest(arrival.id(), "spec", tasks, CALLER_TIMEOUT_MILLIS, Optional.empty()),
				this.simulation.time().now());
	}

	private void onAnswer(CallerRef caller, BatchAnswer answer) {
		BatchArrival arrival = this.pending.remove(caller);
		this.simulation.outcomes()
			.record(arrival, answer.verdict() == BatchVerdict.COMPLETED, this.simulation.time().now());
	}

	private void send(GuardId guard, Message message) {
		this.simulation.guards()
			.stream()
			.filter((candidate) -> candidate.id().equals(guard))
			.forEach((receiver) -> receiver.receive(this, message));
		if (message instanceof StartRun) {
			this.simulation.outcomes().countOrder();
		}
	}

	/**
	 * Delivers a message of a guard.
	 * @param guard the guard
	 * @param guardIncarnation its incarnation when it sent the message
	 * @param message the message
	 */
	void onMessage(GuardId guard, Incarnation guardIncarnation, Message message) {
		if (!isUp()) {
			return;
		}
		if (message instanceof RunEnded ended && ended.outcome() == RunOutcome.NO_ROOM) {
			this.simulation.outcomes().countRefusedOrder();
		}
		this.dispatcher.onMessage(guard, guardIncarnation, message, this.simulation.time().now());
		this.dispatcher.placeIfDue(this.simulation.time().now());
	}

	void onGuardConnected(GuardId guard, Incarnation guardIncarnation) {
		this.dispatcher.onGuardConnected(guard, guardIncarnation);
	}

	void onGuardLost(GuardId guard, Incarnation guardIncarnation) {
		if (isUp()) {
			this.dispatcher.onGuardLost(guard, guardIncarnation, this.simulation.time().now());
		}
	}

	void tick() {
		if (isUp()) {
			this.dispatcher.tick(this.simulation.time().now());
		}
	}

}
