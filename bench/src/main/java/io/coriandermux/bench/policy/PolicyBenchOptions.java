package io.coriandermux.bench.policy;

/**
 * Options of the policy benchmark.
 *
 * @param seed first seed of the arrivals
 * @param runs number of runs with successive seeds, whose figures are averaged
 * @param seconds virtual time over which the jobs of each run arrive, in seconds
 * @param load fraction of the capacity that the work of a run takes, from 0 to 1
 * @param variants whether to run the variants with more runners and wrong declared sizes
 */
public record PolicyBenchOptions(long seed, int runs, int seconds, double load, boolean variants) {

	private static final long SEED = 1;

	private static final int RUNS = 5;

	private static final int SECONDS = 120;

	private static final double LOAD = 0.85;

	/**
	 * Returns the default options.
	 * @return the options
	 */
	public static PolicyBenchOptions defaults() {
		return new PolicyBenchOptions(SEED, RUNS, SECONDS, LOAD, true);
	}

}
