package io.coriandermux.proof.fault;

import java.util.List;
import java.util.Locale;

import io.coriandermux.proof.trace.TraceEvent;

/**
 * The faults of section 1.5 of docs/design.md, each with the trace events that inject it.
 * A target {@code entry} or {@code guard} is the process involved in the step at which
 * the fault is injected.
 */
public enum Fault {

	/** An entry is killed; its next incarnation starts 8 s later. */
	ENTRY_DIES("kill target=entry for=8000"),
	/** A guard is killed; its next incarnation starts 6 s later. */
	GUARD_DIES("kill target=guard for=6000"),
	/** An endpoint closes its connections and accepts no new ones for 5 s. */
	ENDPOINT_DIES("endpoint-down target=guard for=5000"),
	/** An endpoint runs at a tenth of its speed for 10 s. */
	STRAGGLER("endpoint-slow target=guard for=10000 factor=10"),
	/** Another owner submits 120 tasks at once. */
	BURST("burst name=burst count=30 owner=configurator tasks=4 run=200"),
	/** The declared run times of tasks are too short by a factor of 100. */
	WRONG_SIZES("burst name=sized count=10 owner=configurator tasks=2 run=1000 declared=10"),
	/** A job requires more cores than any endpoint has. */
	IMPOSSIBLE_JOB("submit name=impossible cores=64"),
	/** Every caller cancels its job. */
	CANCELLATIONS("cancel-all"),
	/** For 5 s an endpoint fails every task immediately. */
	FAILING_WORKER("endpoint-fail target=guard for=5000"),
	/** The store is down for 5 s. */
	STORE_DOWN("store-down for=5000"),
	/**
	 * For 10 s each call to the store takes 1.5 s and its watches deliver stale
	 * snapshots.
	 */
	STORE_SLOW("store-slow for=10000 call=1500", "store-stale for=10000"),
	/** The next two writes to the store take effect, but their responses are lost. */
	STORE_ANSWER_LOST("store-lose count=2"),
	/** An entry is paused for 7 s, longer than the home lease. */
	LEASE_LAPSED("pause target=entry for=7000"),
	/** Two other operators edit the same document at the same time. */
	CONCURRENT_EDITS("edit name=edit-b quota=40", "edit name=edit-c quota=48"),
	/**
	 * All open connections of an entry drop every message from then on; new connections
	 * work.
	 */
	SILENT_CONNECTION("silence target=entry"),
	/**
	 * For 3 s, 40 % of all messages arrive late and out of order, some of them twice.
	 */
	DISORDERED_MESSAGES("disorder for=3000 percent=40");

	private final List<String> actions;

	Fault(String... actions) {
		this.actions = List.of(actions);
	}

	/**
	 * Returns the events that inject the fault at a step.
	 * @param step the step in lower case
	 * @param occurrence the occurrence of the step, counted from 1
	 * @return the events
	 */
	public List<TraceEvent> eventsAtStep(String step, long occurrence) {
		return this.actions.stream()
			.map((action) -> TraceEvent.when(step, occurrence, actionOf(action), argumentsOf(action)))
			.toList();
	}

	/**
	 * Returns the events that inject the fault at a time.
	 * @param millis the simulated time in milliseconds
	 * @return the events
	 */
	public List<TraceEvent> eventsAtTime(long millis) {
		return this.actions.stream()
			.map((action) -> TraceEvent.at(millis, actionOf(action), argumentsOf(action)))
			.toList();
	}

	private static String actionOf(String action) {
		return action.split(" ", 2)[0];
	}

	private static String argumentsOf(String action) {
		String[] parts = action.split(" ", 2);
		return (parts.length > 1) ? parts[1] : "";
	}

	/**
	 * Returns the name of the fault in tables and files.
	 * @return the name of the constant in lower case with hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
