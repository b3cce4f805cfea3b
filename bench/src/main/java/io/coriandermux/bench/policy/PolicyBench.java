package io.coriandermux.bench.policy;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.coriandermux.bench.policy.PolicyBenchResult.WorkloadResult;

/**
 * Runs all policies on the same arrivals.
 */
public final class PolicyBench {

	/** Name of the dispatcher's policy in the result. */
	public static final String DISPATCHER = "coriandermux";

	private static final double SIZE_ERROR_FACTOR = 100;

	private static final int[] FLEET_FACTORS = { 2, 4 };

	private PolicyBench() {
	}

	/**
	 * Runs the benchmark.
	 * @param options the options
	 * @return the figures
	 * @throws IOException if the workloads cannot be read
	 */
	public static PolicyBenchResult run(PolicyBenchOptions options) throws IOException {
		Map<String, WorkloadResult> results = new LinkedHashMap<>();
		for (Workload workload : Workload.readAll()) {
			results.put(workload.name(), run(workload, options));
		}
		return new PolicyBenchResult(options, results);
	}

	private static WorkloadResult run(Workload workload, PolicyBenchOptions options) {
		Map<String, PolicyFigures> figures = new LinkedHashMap<>();
		Map<String, Double> wastedByType = new TreeMap<>();
		figures.putAll(run(workload, 1, 1, policies(), options, wastedByType));
		if (options.variants()) {
			Map<String, Policy> dispatcher = Map.of(DISPATCHER, new DispatcherPolicy(false));
			for (int factor : FLEET_FACTORS) {
				figures.put(DISPATCHER + "_x" + factor,
						run(workload, factor, 1, dispatcher, options, new TreeMap<>()).get(DISPATCHER));
			}
			figures.put(DISPATCHER + "_wrong_sizes",
					run(workload, 1, SIZE_ERROR_FACTOR, dispatcher, options, new TreeMap<>()).get(DISPATCHER));
		}
		return new WorkloadResult(figures, wastedByType);
	}

	private static Map<String, Policy> policies() {
		Map<String, Policy> policies = new LinkedHashMap<>();
		policies.put(DISPATCHER, new DispatcherPolicy(false));
		policies.put("random", new RunnerQueuePolicy(RunnerQueuePolicy.Choice.RANDOM));
		policies.put("round_robin", new RunnerQueuePolicy(RunnerQueuePolicy.Choice.ROUND_ROBIN));
		policies.put("two_choices", new RunnerQueuePolicy(RunnerQueuePolicy.Choice.TWO_CHOICES));
		return policies;
	}

	private static Map<String, PolicyFigures> run(Workload workload, int factor, double sizeErrorFactor,
			Map<String, Policy> policies, PolicyBenchOptions options, Map<String, Double> wastedByType) {
		Fleet fleet = Fleet.of(workload, factor);
		ArrivalPlanner planner = new ArrivalPlanner(workload, fleet, sizeErrorFactor);
		Map<String, List<PolicyFigures>> all = new LinkedHashMap<>();
		for (int run = 0; run < options.runs(); run++) {
			ArrivalPlan plan = planner.plan(options.seed() + run, options.seconds(), options.load());
			SimulationResult central = new DispatcherPolicy(true).run(plan, fleet);
			SimulationResult ideal = new IdealPolicy().run(plan, fleet);
			FigureCalculator calculator = new FigureCalculator(plan, central, ideal);
			policies.forEach((name, policy) -> {
				SimulationResult result = policy.run(plan, fleet);
				all.computeIfAbsent(name, (key) -> new ArrayList<>()).add(calculator.calculate(result));
				result.wastedByType.forEach((type, count) -> wastedByType.merge(type,
						(double) count / plan.tasks() / options.runs(), Double::sum));
			});
			all.computeIfAbsent("central", (key) -> new ArrayList<>()).add(calculator.calculate(central));
			all.computeIfAbsent("ideal", (key) -> new ArrayList<>()).add(calculator.calculate(ideal));
		}
		Map<String, PolicyFigures> means = new LinkedHashMap<>();
		all.forEach((name, figures) -> means.put(name, FigureCalculator.mean(figures)));
		return means;
	}

}
