package io.coriandermux.bench.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws the arrivals of a load from a seed.
 */
final class BatchArrivalPlanner {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double NANOS_PER_MILLI = 1e6;

	/** A few batches run several times as long as drawn. */
	private static final double LONG_PROBABILITY = 0.03;

	private static final double LONG_FACTOR = 7;

	/** Standard deviation of the logarithm of the run times within a batch. */
	private static final double TASK_SPREAD = 0.15;

	private static final double WIDTH_SPREAD = 0.4;

	private static final int MAX_WIDTH_FACTOR = 4;

	/**
	 * The worth of a batch grows with its work, from this fraction of that of its kind.
	 */
	private static final double FIXED_WORTH = 0.3;

	private static final double MAX_WORTH_FACTOR = 4;

	private final BatchLoad load;

	private final SplittableRandom random;

	BatchArrivalPlanner(BatchLoad load, long seed) {
		this.load = load;
		this.random = new SplittableRandom(seed);
	}

	List<BatchArrival> plan() {
		List<BatchArrival> drawn = new ArrayList<>();
		for (BatchKind kind : this.load.kinds()) {
			double maxRate = kind.ratePerSecond() * (1 + this.load.waveSwing()) * maxBurstFactor();
			double seconds = 0;
			while (true) {
				seconds -= Math.log(1 - this.random.nextDouble()) / maxRate;
				if (seconds >= this.load.seconds()) {
					break;
				}
				if (this.random.nextDouble() * maxRate < rate(kind, seconds)) {
					drawn.add(draw(kind, (long) (seconds * NANOS_PER_SECOND)));
				}
			}
		}
		drawn.sort(Comparator.comparingLong(BatchArrival::nanos));
		List<BatchArrival> numbered = new ArrayList<>();
		for (BatchArrival arrival : drawn) {
			numbered.add(new BatchArrival(numbered.size(), arrival.kind(), arrival.entry(), arrival.nanos(),
					arrival.workNanos(), arrival.declaredMillis(), arrival.worth()));
		}
		return numbered;
	}

	private double maxBurstFactor() {
		double factor = 1;
		for (BatchLoad.Burst burst : this.load.bursts()) {
			factor *= Math.max(1, burst.factor());
		}
		return factor;
	}

	private double rate(BatchKind kind, double seconds) {
		double rate = kind.ratePerSecond()
				* (1 + this.load.waveSwing() * Math.sin(2 * Math.PI * seconds / this.load.waveSeconds()));
		for (BatchLoad.Burst burst : this.load.bursts()) {
			boolean active = seconds >= burst.startSeconds() && seconds < burst.startSeconds() + burst.seconds();
			if (active && (burst.kind().isEmpty() || burst.kind().equals(kind.name()))) {
				rate *= burst.factor();
			}
		}
		return rate;
	}

	private BatchArrival draw(BatchKind kind, long nanos) {
		int width = (int) Math.max(1,
				Math.min(MAX_WIDTH_FACTOR * kind.width(), Math.round(lognormal(kind.width(), WIDTH_SPREAD))));
		double millis = lognormal(kind.taskMillis(), kind.spread())
				* ((this.random.nextDouble() < LONG_PROBABILITY) ? LONG_FACTOR : 1);
		long[] workNanos = new long[width];
		double work = 0;
		for (int i = 0; i < width; i++) {
			workNanos[i] = (long) (lognormal(millis, TASK_SPREAD) * NANOS_PER_MILLI);
			work += workNanos[i] / NANOS_PER_MILLI;
		}
		long declared = Math.max(1, Math.round(lognormal(millis, this.load.declaredError())));
		double size = work / (kind.width() * kind.taskMillis());
		double worth = kind.worth() * Math.min(MAX_WORTH_FACTOR, FIXED_WORTH + (1 - FIXED_WORTH) * size);
		return new BatchArrival(0, kind, drawEntry(), nanos, workNanos, declared, worth);
	}

	private double lognormal(double mean, double spread) {
		return mean * Math.exp(spread * this.random.nextGaussian() - spread * spread / 2);
	}

	private int drawEntry() {
		double remaining = this.random.nextDouble();
		for (int i = 0; i < this.load.entryShares().size(); i++) {
			remaining -= this.load.entryShares().get(i);
			if (remaining < 0) {
				return i;
			}
		}
		return 0;
	}

}
