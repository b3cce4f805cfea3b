package io.coriandermux.core.model;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

/**
 * Counts, for the combinations of faults that make a guard silent right after a start,
 * the seeds with two runs of a task at the same time. Arguments: the number of seeds, and
 * optionally the first seed and the names of the faults and surroundings to combine; with
 * one seed, the trace of each violation is printed.
 */
public final class SilentGuardSurvey {

	/** The combinations of faults that are played if none is named. */
	static final List<Set<GuardFault>> COMBINATIONS = List.of(EnumSet.of(GuardFault.PAUSE),
			EnumSet.of(GuardFault.ENDPOINT_CUT), EnumSet.of(GuardFault.ANSWERS_LOST),
			EnumSet.of(GuardFault.ENTRIES_HEAR_NOTHING), EnumSet.of(GuardFault.GUARD_HEARS_NOTHING),
			EnumSet.of(GuardFault.UNLISTED), EnumSet.of(GuardFault.UNLISTED, GuardFault.PAUSE),
			EnumSet.of(GuardFault.UNLISTED, GuardFault.ENDPOINT_CUT),
			EnumSet.of(GuardFault.UNLISTED, GuardFault.ANSWERS_LOST),
			EnumSet.of(GuardFault.UNLISTED, GuardFault.ENTRIES_HEAR_NOTHING),
			EnumSet.of(GuardFault.UNLISTED, GuardFault.GUARD_HEARS_NOTHING), EnumSet.of(GuardFault.RESTART),
			EnumSet.of(GuardFault.UNLISTED, GuardFault.RESTART), EnumSet.of(GuardFault.STOP),
			EnumSet.of(GuardFault.STOP, GuardFault.ENDPOINT_CUT), EnumSet.of(GuardFault.FOREIGN_HEARTBEAT),
			EnumSet.of(GuardFault.FOREIGN_HEARTBEAT, GuardFault.PAUSE),
			EnumSet.of(GuardFault.FOREIGN_HEARTBEAT, GuardFault.ANSWERS_LOST),
			EnumSet.of(GuardFault.FOREIGN_HEARTBEAT, GuardFault.RESTART));

	private SilentGuardSurvey() {
	}

	/**
	 * Plays the seeds and prints the figures.
	 * @param args number of seeds, first seed, names of faults and surroundings
	 */
	public static void main(String[] args) {
		int count = (args.length > 0) ? Integer.parseInt(args[0]) : 500;
		long first = (args.length > 1) ? Long.parseLong(args[1]) : 1;
		List<String> names = Arrays.asList(args).subList(Math.min(2, args.length), args.length);
		Set<GuardFault> faults = Arrays.stream(GuardFault.values())
			.filter((fault) -> names.contains(fault.name()))
			.collect(Collectors.toCollection(() -> EnumSet.noneOf(GuardFault.class)));
		Set<Surroundings> surroundings = Arrays.stream(Surroundings.values())
			.filter((circumstance) -> names.contains(circumstance.name()))
			.collect(Collectors.toCollection(() -> EnumSet.noneOf(Surroundings.class)));
		if (faults.size() + surroundings.size() < names.size()) {
			throw new IllegalArgumentException("unknown name among " + names);
		}
		if (!faults.isEmpty()) {
			survey(faults, surroundings, count, first);
			return;
		}
		COMBINATIONS.forEach((combination) -> survey(combination, surroundings, count, first));
	}

	private static void survey(Set<GuardFault> faults, Set<Surroundings> surroundings, int count, long first) {
		List<Result> results = LongStream.range(first, first + count)
			.parallel()
			.mapToObj((seed) -> play(seed, faults, surroundings, count == 1))
			.toList();
		System.out.printf("%-60s %4d of %d seeds TWICE, %d with an early end, batches %d/%d done%n",
				faults + " " + surroundings,
				results.stream().filter((result) -> !result.circumstances.isEmpty()).count(), count,
				results.stream().filter(Result::premature).count(), results.stream().mapToLong(Result::completed).sum(),
				results.stream().mapToLong(Result::submitted).sum());
		printSecondStarts(results);
		Map<String, Long> firstSeeds = new LinkedHashMap<>();
		results.stream()
			.filter((result) -> !result.circumstances.isEmpty())
			.forEach((result) -> firstSeeds.putIfAbsent(result.circumstances, result.seed));
		firstSeeds.forEach((text, seed) -> System.out.printf("    %s, seed %d%n", text, seed));
	}

	private static void printSecondStarts(List<Result> results) {
		List<SilentGuardPlan.SecondStart> starts = results.stream()
			.flatMap((result) -> result.secondStarts.stream())
			.toList();
		long[] millis = starts.stream().mapToLong(SilentGuardPlan.SecondStart::afterMillis).sorted().toArray();
		if (millis.length > 0) {
			System.out.printf(
					"    %d of %d tasks start again, first after %d ms, half of them after %d ms, numbers %s%n",
					millis.length, results.stream().mapToLong(Result::struckTasks).sum(), millis[0],
					millis[millis.length / 2],
					starts.stream()
						.collect(Collectors.groupingBy(SilentGuardPlan.SecondStart::number, TreeMap::new,
								Collectors.counting())));
		}
	}

	private static Result play(long seed, Set<GuardFault> faults, Set<Surroundings> surroundings, boolean printed) {
		SilentGuardPlan plan = new SilentGuardPlan(seed, faults, surroundings);
		ClusterModel model = plan.play();
		if (printed) {
			print(model);
		}
		return new Result(seed, model.callers().submitted(), model.callers().completed(),
				!model.prematureEnds().isEmpty(),
				model.violations().stream().findFirst().map(RunChecker.Violation::circumstances).orElse(""),
				plan.struckTasks(), plan.secondStarts());
	}

	private static void print(ClusterModel model) {
		model.violations().forEach((violation) -> {
			System.out.println(violation);
			model.trace().about(violation.first().run().batch().value()).forEach(System.out::println);
		});
		model.prematureEnds().forEach(System.out::println);
	}

	private record Result(long seed, long submitted, long completed, boolean premature, String circumstances,
			long struckTasks, List<SilentGuardPlan.SecondStart> secondStarts) {

	}

}
