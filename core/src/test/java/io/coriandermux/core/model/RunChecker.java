package io.coriandermux.core.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.coriandermux.core.run.RunId;

/**
 * Checks that no two runs of a task are active at the same time, and that no guard
 * reports the end of a run that is active.
 */
final class RunChecker {

	private final ModelClock clock;

	private final ModelTrace trace;

	private final Map<RunId, List<PlacedRun>> activeByTask = new LinkedHashMap<>();

	private final Map<PlacedRun, Facts> facts = new LinkedHashMap<>();

	private final Map<String, Long> guardLives = new LinkedHashMap<>();

	private final List<Violation> violations = new ArrayList<>();

	private final List<String> prematureEnds = new ArrayList<>();

	RunChecker(ModelClock clock, ModelTrace trace) {
		this.clock = clock;
		this.trace = trace;
	}

	/**
	 * Returns a key for all runs of a task.
	 * @param run one of the runs
	 * @return the key
	 */
	static RunId task(RunId run) {
		return new RunId(run.batch(), run.phase(), run.index(), 0);
	}

	List<Violation> violations() {
		return this.violations;
	}

	/**
	 * Returns the ends that were reported while the run was active or before it started.
	 * @return one line for each
	 */
	List<String> prematureEnds() {
		return this.prematureEnds;
	}

	void onGuardStarted(ModelEndpoint endpoint, long life) {
		this.guardLives.put(endpoint.name(), life);
	}

	void onOrdered(ModelEndpoint endpoint, RunId run, long guardLife) {
		Facts ordered = facts(endpoint, run);
		ordered.guardLife = guardLife;
		// After the answer that it was not started, a run may be requested again by
		// another entry.
		ordered.reportedEnded = false;
	}

	void onStopDropped(ModelEndpoint endpoint, RunId run) {
		facts(endpoint, run).stopDropped = true;
	}

	void onStopReceived(ModelEndpoint endpoint, RunId run) {
		facts(endpoint, run).stopReceived = true;
	}

	/**
	 * Records the report of an end to the entry that has ordered the run, or to any entry
	 * if the guard has not ordered it.
	 * @param endpoint the endpoint of the guard
	 * @param run the run
	 */
	void onReportedEnded(ModelEndpoint endpoint, RunId run) {
		facts(endpoint, run).reportedEnded = true;
		if (endpoint.isActive(run)) {
			this.prematureEnds.add(run + " at " + endpoint.name() + " is reported as ended while it is active");
		}
	}

	void onStarted(ModelEndpoint endpoint, RunId run, boolean late) {
		PlacedRun started = new PlacedRun(endpoint.name(), run);
		Facts startedFacts = facts(endpoint, run);
		startedFacts.late = late;
		if (startedFacts.reportedEnded) {
			this.prematureEnds.add(run + " at " + endpoint.name() + " starts after its end was reported");
		}
		List<PlacedRun> others = this.activeByTask.computeIfAbsent(task(run), (task) -> new ArrayList<>());
		for (PlacedRun other : others) {
			Violation violation = new Violation(this.clock.elapsedMillis(), other, started,
					describe(other) + " / " + describe(started));
			this.violations.add(violation);
			this.trace.add("checker", "FAULT TWICE " + violation);
		}
		others.add(started);
	}

	void onEnded(ModelEndpoint endpoint, RunId run) {
		this.activeByTask.get(task(run)).remove(new PlacedRun(endpoint.name(), run));
	}

	private Facts facts(ModelEndpoint endpoint, RunId run) {
		return this.facts.computeIfAbsent(new PlacedRun(endpoint.name(), run), (key) -> new Facts());
	}

	private String describe(PlacedRun placed) {
		Facts known = this.facts.get(placed);
		List<String> words = new ArrayList<>();
		if (known.late) {
			words.add("late");
		}
		if (known.guardLife != Optional.ofNullable(this.guardLives.get(placed.endpoint())).orElse(known.guardLife)) {
			words.add("of a previous guard");
		}
		if (known.reportedEnded) {
			words.add("reported as ended");
		}
		if (known.stopDropped && !known.stopReceived) {
			words.add("stop request lost");
		}
		if (known.stopReceived) {
			words.add("stop requested");
		}
		return words.isEmpty() ? "usual" : String.join(", ", words);
	}

	/**
	 * A run at an endpoint.
	 *
	 * @param endpoint name of the endpoint
	 * @param run the run
	 */
	record PlacedRun(String endpoint, RunId run) {

		@Override
		public String toString() {
			return this.run + " at " + this.endpoint;
		}

	}

	/**
	 * Two runs of a task that were active at the same time.
	 *
	 * @param elapsedMillis time since the start of the model in milliseconds
	 * @param first the run that was active
	 * @param second the run that started
	 * @param circumstances what is known of both runs
	 */
	record Violation(double elapsedMillis, PlacedRun first, PlacedRun second, String circumstances) {

		@Override
		public String toString() {
			return "at " + this.elapsedMillis + " ms: " + this.first + " is active, " + this.second + " starts ("
					+ this.circumstances + ")";
		}

	}

	private static final class Facts {

		private long guardLife;

		private boolean late;

		private boolean stopDropped;

		private boolean stopReceived;

		private boolean reportedEnded;

	}

}
