package io.coriandermux.proof.trace;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.coriandermux.proof.check.Checks;
import io.coriandermux.proof.check.Violation;
import io.coriandermux.proof.journal.Journal;
import io.coriandermux.proof.simulation.LogicFactory;
import io.coriandermux.proof.simulation.Simulation;

/**
 * The result of running a trace.
 *
 * @param outcomes outcomes of the jobs and edits by name
 * @param violations the violations found by the checks
 * @param journal the observations
 */
public record TraceRun(Map<String, String> outcomes, List<Violation> violations, Journal journal) {

	/**
	 * Runs a trace in the simulation and checks the guarantees.
	 * @param trace the trace
	 * @param logic creates the decision logic of the processes under test
	 * @return the result of the run
	 */
	public static TraceRun execute(Trace trace, LogicFactory logic) {
		Simulation simulation = new Simulation(trace.seed(), logic);
		Journal journal = simulation.run(trace.events(), trace.endMillis());
		return new TraceRun(new TreeMap<>(simulation.outcomes()), Checks.violations(journal), journal);
	}

}
