package io.coriandermux.bench.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Figures of a run: the share of the worth of all batches that was earned, over the whole
 * run and over its worst parts.
 *
 * @param total share of all batches
 * @param worstWindows mean share of the two windows of two seconds with the lowest share
 * @param worstClass lowest share of a kind of batch, of the largest tenth of a kind, and
 * of the fifth below that
 * @param worstEntry lowest share of the batches that arrive at an entry
 * @param refusedOrders share of the start orders that found no free capacity
 * @param busyCores mean number of cores that runs held
 */
public record BatchFigures(double total, double worstWindows, double worstClass, double worstEntry,
		double refusedOrders, double busyCores) {

	private static final double TOTAL_WEIGHT = 0.4;

	private static final double WINDOWS_WEIGHT = 0.1;

	private static final double CLASS_WEIGHT = 0.3;

	private static final double ENTRY_WEIGHT = 0.2;

	private static final long WINDOW_NANOS = 2_000_000_000L;

	private static final int WORST_WINDOWS = 2;

	private static final double LARGEST_FRACTION = 0.1;

	private static final double LARGE_FRACTION = 0.3;

	private static final double MILLICORE_NANOS_PER_CORE_SECOND = 1e12;

	/**
	 * Returns the weighted mean of the shares.
	 * @return the score, from 0 to 1
	 */
	public double score() {
		return TOTAL_WEIGHT * this.total + WINDOWS_WEIGHT * this.worstWindows + CLASS_WEIGHT * this.worstClass
				+ ENTRY_WEIGHT * this.worstEntry;
	}

	static BatchFigures of(BatchOutcomes outcomes, int seconds) {
		return new BatchFigures(share(outcomes, outcomes.arrivals()), worstWindows(outcomes), worstClass(outcomes),
				worstEntry(outcomes), outcomes.refusedOrderShare(),
				outcomes.busyMillicoreNanos() / MILLICORE_NANOS_PER_CORE_SECOND / seconds);
	}

	/**
	 * Returns the means of the figures of several runs.
	 * @param runs the figures of each run
	 * @return the means
	 */
	public static BatchFigures mean(List<BatchFigures> runs) {
		return new BatchFigures(runs.stream().mapToDouble(BatchFigures::total).average().orElse(0),
				runs.stream().mapToDouble(BatchFigures::worstWindows).average().orElse(0),
				runs.stream().mapToDouble(BatchFigures::worstClass).average().orElse(0),
				runs.stream().mapToDouble(BatchFigures::worstEntry).average().orElse(0),
				runs.stream().mapToDouble(BatchFigures::refusedOrders).average().orElse(0),
				runs.stream().mapToDouble(BatchFigures::busyCores).average().orElse(0));
	}

	private static double share(BatchOutcomes outcomes, List<BatchArrival> arrivals) {
		double owed = arrivals.stream().mapToDouble(BatchArrival::worth).sum();
		return (owed > 0) ? arrivals.stream().mapToDouble(outcomes::credit).sum() / owed : 1;
	}

	private static double worstWindows(BatchOutcomes outcomes) {
		Map<Long, List<BatchArrival>> windows = new TreeMap<>();
		outcomes.arrivals()
			.forEach((arrival) -> windows
				.computeIfAbsent((arrival.nanos() - outcomes.firstNanos()) / WINDOW_NANOS, (key) -> new ArrayList<>())
				.add(arrival));
		return windows.values()
			.stream()
			.mapToDouble((arrivals) -> share(outcomes, arrivals))
			.sorted()
			.limit(WORST_WINDOWS)
			.average()
			.orElse(1);
	}

	private static double worstEntry(BatchOutcomes outcomes) {
		Map<Integer, List<BatchArrival>> entries = new TreeMap<>();
		outcomes.arrivals()
			.forEach((arrival) -> entries.computeIfAbsent(arrival.entry(), (key) -> new ArrayList<>()).add(arrival));
		return entries.values().stream().mapToDouble((arrivals) -> share(outcomes, arrivals)).min().orElse(1);
	}

	private static double worstClass(BatchOutcomes outcomes) {
		Map<String, List<BatchArrival>> kinds = new TreeMap<>();
		outcomes.arrivals()
			.forEach(
					(arrival) -> kinds.computeIfAbsent(arrival.kind().name(), (key) -> new ArrayList<>()).add(arrival));
		double worst = 1;
		for (List<BatchArrival> arrivals : kinds.values()) {
			arrivals.sort(Comparator.comparingDouble(BatchArrival::work).reversed());
			int largest = (int) Math.ceil(LARGEST_FRACTION * arrivals.size());
			int large = (int) Math.ceil(LARGE_FRACTION * arrivals.size());
			worst = Math.min(worst, share(outcomes, arrivals));
			worst = Math.min(worst, share(outcomes, arrivals.subList(0, largest)));
			worst = Math.min(worst, share(outcomes, arrivals.subList(largest, large)));
		}
		return worst;
	}

}
