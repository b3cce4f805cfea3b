package io.coriandermux.proof;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import io.coriandermux.proof.fault.RandomFaultPair;
import io.coriandermux.proof.simulation.CoreLogicFactory;
import io.coriandermux.proof.trace.Trace;
import io.coriandermux.proof.trace.TraceRun;

/**
 * Runs random pairs of faults and reports each violation with the trace that reproduces
 * it: {@code FaultPairs --tries N --seed S}.
 */
public final class FaultPairs {

	private static final int DEFAULT_TRIES = 10_000;

	private static final int MAX_TRACES = 5;

	private FaultPairs() {
	}

	/**
	 * Runs the pairs and exits with 1 if any violates a guarantee.
	 * @param arguments {@code --tries N} and {@code --seed S}
	 */
	public static void main(String[] arguments) {
		Map<String, Long> options = new LinkedHashMap<>();
		for (int i = 0; i + 1 < arguments.length; i += 2) {
			options.put(arguments[i], Long.parseLong(arguments[i + 1]));
		}
		long tries = options.getOrDefault("--tries", (long) DEFAULT_TRIES);
		long seed = options.getOrDefault("--seed", 1L);
		System.exit((run(tries, seed) > 0) ? 1 : 0);
	}

	private static long run(long tries, long seed) {
		long violatedCount = 0;
		Map<String, Long> outcomes = new TreeMap<>();
		Map<String, Long> violationsByCheck = new TreeMap<>();
		for (long number = 0; number < tries; number++) {
			Trace trace = RandomFaultPair.of(seed + number).trace();
			TraceRun run = TraceRun.execute(trace, new CoreLogicFactory());
			run.outcomes().values().forEach((outcome) -> outcomes.merge(outcome, 1L, Long::sum));
			if (!run.violations().isEmpty()) {
				violatedCount++;
				run.violations().forEach((violation) -> violationsByCheck.merge(violation.check(), 1L, Long::sum));
				if (violatedCount <= MAX_TRACES) {
					System.out.println("seed " + (seed + number) + " violates:");
					run.violations().stream().limit(MAX_TRACES).forEach(System.out::println);
					System.out.println(trace.format());
				}
				else {
					System.out.println("seed " + (seed + number) + " violates: " + run.violations().get(0));
				}
			}
		}
		System.out.println(String.format(Locale.ROOT, "%d pairs from seed %d: %d with violations %s", tries, seed,
				violatedCount, violationsByCheck));
		System.out.println("outcomes: " + outcomes);
		return violatedCount;
	}

}
