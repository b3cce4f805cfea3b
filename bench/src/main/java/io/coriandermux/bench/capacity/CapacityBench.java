package io.coriandermux.bench.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Runs capacity probes and fits a line through the costs of each.
 */
public final class CapacityBench {

	/**
	 * Runs of a probe at each size. Their median limits the effect of compilation and
	 * garbage collection.
	 */
	private static final int RUNS_PER_SIZE = 5;

	/**
	 * Runs every probe at each of its sizes.
	 * @param probes the probes
	 * @return the fitted lines in the order of the probes
	 * @throws TooFewPointsException if a probe has fewer than three sizes
	 */
	public List<CapacitySlope> run(List<CapacityProbe> probes) throws TooFewPointsException {
		List<CapacitySlope> slopes = new ArrayList<>();
		for (CapacityProbe probe : probes) {
			// Warm-up: a first run includes JIT compilation, which would distort the fit.
			probe.sizes().forEach(probe.measure()::applyAsDouble);
			List<CapacityPoint> points = probe.sizes().stream().map((size) -> measurePoint(probe, size)).toList();
			slopes.add(CapacitySlope.fit(probe.name(), probe.sizeUnit(), probe.costUnit(), points));
		}
		return slopes;
	}

	private static CapacityPoint measurePoint(CapacityProbe probe, int size) {
		List<Double> costs = new ArrayList<>();
		for (int run = 0; run < RUNS_PER_SIZE; run++) {
			costs.add(probe.measure().applyAsDouble(size));
		}
		costs.sort(Comparator.naturalOrder());
		return new CapacityPoint(size, costs.get(RUNS_PER_SIZE / 2));
	}

}
