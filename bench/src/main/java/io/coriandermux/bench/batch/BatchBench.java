package io.coriandermux.bench.batch;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.stream.LongStream;

/**
 * Runs the batch policy under a load.
 */
public final class BatchBench {

	private BatchBench() {
	}

	/**
	 * Runs a load.
	 * @param load the load
	 * @param seed seed of the first run
	 * @param runs number of runs with consecutive seeds
	 * @return the means of the figures
	 */
	public static BatchFigures run(BatchLoad load, long seed, int runs) {
		return mean(load, seed, runs, (each) -> new BatchSimulation(load, each).run());
	}

	/**
	 * Runs a load under policies to compare with: a random endpoint for each task, each
	 * endpoint in turn, the better of two random ones, one entry that receives all
	 * batches, and one queue with full knowledge.
	 * @param load the load
	 * @param seed seed of the first run
	 * @param runs number of runs with consecutive seeds
	 * @return the means of the figures by policy
	 */
	public static Map<String, BatchFigures> runReferences(BatchLoad load, long seed, int runs) {
		Map<String, BatchFigures> figures = new LinkedHashMap<>();
		for (ReferenceSimulation.Policy policy : ReferenceSimulation.Policy.values()) {
			figures.put(policy.name().toLowerCase(Locale.ROOT).replace('_', ' '),
					mean(load, seed, runs, (each) -> new ReferenceSimulation(load, each).run(policy)));
		}
		figures.put("one entry", run(load.withEntries(1.0), seed, runs));
		return figures;
	}

	private static BatchFigures mean(BatchLoad load, long seed, int runs, LongFunction<BatchOutcomes> run) {
		return BatchFigures.mean(LongStream.range(seed, seed + runs)
			.parallel()
			.mapToObj((each) -> BatchFigures.of(run.apply(each), load.seconds()))
			.toList());
	}

}
