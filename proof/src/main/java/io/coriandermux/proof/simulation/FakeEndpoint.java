package io.coriandermux.proof.simulation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;

import io.coriandermux.core.guard.TaskEnded;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.message.Start;
import io.coriandermux.proof.journal.TaskFinished;
import io.coriandermux.proof.journal.TaskStarted;

/**
 * An endpoint that records each received task and answers with a value derived from the
 * task's headers and payload, so that checks detect swapped answers. It can be down, slow
 * or failing.
 */
final class FakeEndpoint {

	private static final long FAILURE_DELAY_NANOS = 200_000;

	private final Simulation simulation;

	private final GuardId name;

	private final Map<TaskKey, RunningTask> running = new LinkedHashMap<>();

	private long lastNumber;

	private long downUntil;

	private long slowUntil;

	private long slowFactor = 1;

	private long failingUntil;

	FakeEndpoint(Simulation simulation, GuardId name) {
		this.simulation = simulation;
		this.name = name;
	}

	void runTask(GuardProcess guard, Start start) {
		long now = this.simulation.clock().now();
		if (now < this.downUntil) {
			this.simulation.clock()
				.scheduleAfter(FAILURE_DELAY_NANOS,
						() -> reportRefused(guard, start, false, "connection refused", now));
			return;
		}
		this.simulation.journal().add(new TaskStarted(now, this.name, start.task(), start.payload()));
		this.simulation.onStep(Step.RUN, guard, guard.name(), start.task().job());
		Payload payload = Payload.parse(start.payload());
		RunningTask run = new RunningTask(guard, start, now, this.lastNumber++);
		this.running.put(start.task(), run);
		if (now < this.failingUntil) {
			this.simulation.clock().scheduleAfter(FAILURE_DELAY_NANOS, () -> endTask(run, false, "status 500"));
			return;
		}
		long factor = (now < this.slowUntil) ? this.slowFactor : 1;
		this.simulation.clock()
			.scheduleAfter(payload.runMillis() * factor * SimulatedClock.NANOS_PER_MILLI, () -> endTask(run, true, ""));
	}

	private void endTask(RunningTask run, boolean success, String reason) {
		TaskKey task = run.start().task();
		if (this.running.get(task) != run) {
			return;
		}
		this.running.remove(task);
		byte[] body = success ? Payload.answer(task, run.start().payload()) : reason.getBytes(StandardCharsets.UTF_8);
		long now = this.simulation.clock().now();
		this.simulation.journal().add(new TaskFinished(now, this.name, task, success, body));
		sendResult(run.guard(), run.start(), success, body, now - run.startedNanos());
	}

	private void reportRefused(GuardProcess guard, Start start, boolean success, String reason, long startedNanos) {
		byte[] body = reason.getBytes(StandardCharsets.UTF_8);
		long now = this.simulation.clock().now();
		this.simulation.journal().add(new TaskFinished(now, this.name, start.task(), success, body));
		sendResult(guard, start, success, body, now - startedNanos);
	}

	private static void sendResult(GuardProcess guard, Start start, boolean success, byte[] body, long runNanos) {
		guard.deliver(() -> guard.handle(new TaskEnded(start.task(), start.attempt(), success, body, runNanos)));
	}

	void abort(TaskKey task) {
		RunningTask run = this.running.get(task);
		if (run != null) {
			endTask(run, false, "aborted");
		}
	}

	void takeDown(long nanos) {
		this.downUntil = this.simulation.clock().now() + nanos;
		for (RunningTask run : new ArrayList<>(this.running.values())) {
			endTask(run, false, "connection broken");
		}
	}

	void slowDown(long nanos, long factor) {
		this.slowUntil = this.simulation.clock().now() + nanos;
		this.slowFactor = factor;
	}

	void failAll(long nanos) {
		this.failingUntil = this.simulation.clock().now() + nanos;
	}

	private record RunningTask(GuardProcess guard, Start start, long startedNanos, long number) {
	}

}
