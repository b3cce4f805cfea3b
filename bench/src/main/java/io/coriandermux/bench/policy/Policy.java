package io.coriandermux.bench.policy;

/**
 * A policy that assigns the tasks of a plan to the runners of a fleet.
 */
@FunctionalInterface
interface Policy {

	/**
	 * Simulates a plan to its end.
	 * @param plan the arrivals
	 * @param fleet the runners and entries
	 * @return the result of the simulation
	 */
	SimulationResult run(ArrivalPlan plan, Fleet fleet);

}
