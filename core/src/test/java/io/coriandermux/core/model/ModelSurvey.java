package io.coriandermux.core.model;

import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Counts, for single kinds of faults and for combinations of them, the seeds with two
 * runs of a task at the same time. Arguments: the number of seeds, and optionally the
 * first seed and the names of the faults to combine; with one seed and names, the trace
 * is printed.
 */
public final class ModelSurvey {

	private ModelSurvey() {
	}

	/**
	 * Plays the seeds and prints the figures.
	 * @param args number of seeds, first seed, names of faults
	 */
	public static void main(String[] args) {
		int count = (args.length > 0) ? Integer.parseInt(args[0]) : 500;
		long first = (args.length > 1) ? Long.parseLong(args[1]) : 1;
		if (args.length > 2) {
			Set<ModelFault> faults = EnumSet.noneOf(ModelFault.class);
			for (int i = 2; i < args.length; i++) {
				faults.add(ModelFault.valueOf(args[i]));
			}
			survey(String.join("+", List.of(args).subList(2, args.length)), faults, count, first);
			return;
		}
		scenarios().forEach((name, faults) -> survey(name, faults, count, first));
	}

	/**
	 * Returns the combinations of faults that a survey plays.
	 * @return the faults by name
	 */
	static Map<String, Set<ModelFault>> scenarios() {
		Map<String, Set<ModelFault>> scenarios = new LinkedHashMap<>();
		for (ModelFault fault : ModelFault.values()) {
			if (fault != ModelFault.LATE_GRANTS) {
				scenarios.put(fault.name(), EnumSet.of(fault));
			}
		}
		scenarios.put("resets and pauses of guards", EnumSet.of(ModelFault.RESET, ModelFault.GUARD_PAUSE));
		scenarios.put("restarts of entries, pauses of guards",
				EnumSet.of(ModelFault.ENTRY_RESTART, ModelFault.GUARD_PAUSE));
		scenarios.put("restarts", EnumSet.of(ModelFault.ENTRY_RESTART, ModelFault.GUARD_RESTART));
		scenarios.put("restarts, late orders",
				EnumSet.of(ModelFault.ENTRY_RESTART, ModelFault.GUARD_RESTART, ModelFault.LATE_ORDERS));
		scenarios.put("late orders with grants", EnumSet.of(ModelFault.LATE_ORDERS, ModelFault.LATE_GRANTS));
		scenarios.put("late starts with grants, mute endpoints",
				EnumSet.of(ModelFault.LATE_STARTS, ModelFault.LATE_GRANTS, ModelFault.MUTE_ENDPOINT));
		scenarios.put("restarts, late starts with grants", EnumSet.of(ModelFault.ENTRY_RESTART,
				ModelFault.GUARD_RESTART, ModelFault.LATE_STARTS, ModelFault.LATE_GRANTS));
		scenarios.put("restarts of endpoints, late starts",
				EnumSet.of(ModelFault.ENDPOINT_RESTART, ModelFault.LATE_STARTS));
		scenarios.put("pauses and resets of callers",
				EnumSet.of(ModelFault.CALLERS_RESET, ModelFault.ENTRY_PAUSE, ModelFault.GUARD_PAUSE));
		scenarios.put("silent links and resets of callers",
				EnumSet.of(ModelFault.CALLERS_RESET, ModelFault.SILENT_LINK));
		scenarios.put("held requests and resets of callers",
				EnumSet.of(ModelFault.HELD_REQUESTS, ModelFault.CALLERS_RESET));
		scenarios.put("held requests and pauses of guards",
				EnumSet.of(ModelFault.HELD_REQUESTS, ModelFault.GUARD_PAUSE));
		scenarios.put("all without grants and held requests",
				EnumSet.complementOf(EnumSet.of(ModelFault.LATE_GRANTS, ModelFault.HELD_REQUESTS)));
		scenarios.put("all without held requests", EnumSet.complementOf(EnumSet.of(ModelFault.HELD_REQUESTS)));
		scenarios.put("all", EnumSet.allOf(ModelFault.class));
		return scenarios;
	}

	private static void survey(String name, Set<ModelFault> faults, int count, long first) {
		int failed = 0;
		int premature = 0;
		long firstFailed = -1;
		long submitted = 0;
		long completed = 0;
		Map<String, Long> circumstances = new TreeMap<>();
		Map<String, Integer> occurrences = new TreeMap<>();
		for (long seed = first; seed < first + count; seed++) {
			FaultPlan plan = new FaultPlan(seed, faults);
			ClusterModel model = plan.play();
			submitted += model.callers().submitted();
			completed += model.callers().completed();
			premature += model.prematureEnds().isEmpty() ? 0 : 1;
			if (!model.violations().isEmpty()) {
				failed++;
				firstFailed = (firstFailed < 0) ? seed : firstFailed;
				RunChecker.Violation violation = model.violations().get(0);
				String text = violation.circumstances() + " "
						+ ((faults.size() > plan.faults().size()) ? plan.faults() : "");
				circumstances.putIfAbsent(text, seed);
				occurrences.merge(text, 1, Integer::sum);
			}
			if (count == 1) {
				print(model);
			}
		}
		System.out.printf("%-42s %4d of %d seeds TWICE, %d with an early end, first seed %d, batches %d/%d done%n",
				name, failed, count, premature, firstFailed, completed, submitted);
		circumstances
			.forEach((text, seed) -> System.out.printf("    %4d: %s, seed %d%n", occurrences.get(text), text, seed));
	}

	private static void print(ClusterModel model) {
		model.violations().forEach((violation) -> {
			System.out.println(violation);
			model.trace().about(violation.first().run().batch().value()).forEach(System.out::println);
		});
		model.prematureEnds().forEach(System.out::println);
	}

}
