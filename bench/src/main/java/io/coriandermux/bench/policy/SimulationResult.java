package io.coriandermux.bench.policy;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * Response and run time of each task under one policy, and message counts.
 */
final class SimulationResult {

	/**
	 * Response time of each task in nanoseconds, -1 if it has no answer.
	 */
	final long[] responseNanos;

	/** Run time of each task at its endpoint in nanoseconds. */
	final long[] runNanos;

	/**
	 * Number of messages other than starts, answers and cancellations, plus starts that
	 * were refused.
	 */
	long wastedMessages;

	/** Number of wasted messages by type, without refused starts. */
	final Map<String, Long> wastedByType = new TreeMap<>();

	/** Number of all messages. */
	long messages;

	/** Number of tasks refused while a slot was idle. */
	long refusedWhileIdle;

	SimulationResult(int tasks) {
		this.responseNanos = new long[tasks];
		this.runNanos = new long[tasks];
		Arrays.fill(this.responseNanos, -1);
	}

	void recordAnswer(TaskArrival task, long nowNanos, long taskRunNanos) {
		this.responseNanos[task.id()] = nowNanos - task.arrivalNanos();
		this.runNanos[task.id()] = taskRunNanos;
	}

	boolean isOnTime(TaskArrival task) {
		long response = this.responseNanos[task.id()];
		return response >= 0 && task.arrivalNanos() + response <= task.deadlineNanos();
	}

}
