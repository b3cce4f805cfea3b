package io.coriandermux.bench.batch;

import java.io.PrintWriter;
import java.util.Locale;

/**
 * Prints the figures of the batch policy under each pattern of load, one line each.
 */
public final class BatchBenchReport {

	private final PrintWriter out;

	/**
	 * Creates a report.
	 * @param out the writer to print to
	 */
	public BatchBenchReport(PrintWriter out) {
		this.out = out;
	}

	/**
	 * Runs the patterns and prints their figures.
	 * @param seed seed of the first run
	 * @param runs number of runs with consecutive seeds
	 * @param references whether to add the policies to compare with
	 */
	public void print(long seed, int runs, boolean references) {
		this.out.printf(Locale.ROOT, "%-40s %7s %7s %7s %7s %7s %8s %7s%n", "pattern", "score", "total", "windows",
				"class", "entry", "refused", "cores");
		BatchLoad.patterns().forEach((name, load) -> {
			print(name, BatchBench.run(load, seed, runs));
			if (references) {
				BatchBench.runReferences(load, seed, runs)
					.forEach((policy, figures) -> print(name + ", " + policy, figures));
			}
		});
	}

	private void print(String name, BatchFigures figures) {
		this.out.printf(Locale.ROOT, "%-40s %7.4f %7.4f %7.4f %7.4f %7.4f %8.4f %7.1f%n", name, figures.score(),
				figures.total(), figures.worstWindows(), figures.worstClass(), figures.worstEntry(),
				figures.refusedOrders(), figures.busyCores());
		this.out.flush();
	}

}
