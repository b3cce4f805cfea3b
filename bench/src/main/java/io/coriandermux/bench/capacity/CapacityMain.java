package io.coriandermux.bench.capacity;

import java.util.ArrayList;
import java.util.List;

/**
 * Runs all capacity probes and prints the fitted lines.
 */
public final class CapacityMain {

	private CapacityMain() {
	}

	/**
	 * Runs all probes and formats the fitted lines.
	 * @return a Markdown table
	 * @throws TooFewPointsException if a probe has fewer than three sizes
	 */
	public static String report() throws TooFewPointsException {
		List<CapacityProbe> probes = new ArrayList<>();
		probes.addAll(NodeProbes.all());
		probes.addAll(SchedulerProbes.all());
		probes.addAll(WireProbes.all());
		probes.addAll(TableProbes.all());
		return new CapacityReport().format(new CapacityBench().run(probes));
	}

	/**
	 * Prints the report.
	 * @param arguments none
	 * @throws TooFewPointsException if a probe has fewer than three sizes
	 */
	public static void main(String[] arguments) throws TooFewPointsException {
		System.out.print(report());
	}

}
