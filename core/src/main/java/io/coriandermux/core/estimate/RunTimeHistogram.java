package io.coriandermux.core.estimate;

/**
 * Histogram of run times with exponentially growing buckets. The weight of old
 * observations decays, so a change in the run times of a route shows after a few hundred
 * tasks.
 */
public final class RunTimeHistogram {

	/** Four buckets per octave limit the error to 12% of the run time. */
	private static final int BUCKETS_PER_OCTAVE = 4;

	private static final int SUB_BUCKET_BITS = 2;

	/**
	 * The first bucket starts at 2^16 ns, 66 microseconds, and includes shorter times.
	 */
	private static final int FIRST_OCTAVE = 16;

	/** Number of octaves; the last bucket starts near 2^44 ns, five hours. */
	private static final int OCTAVES = 28;

	private static final int BUCKETS = OCTAVES * BUCKETS_PER_OCTAVE;

	/** All weights are halved when their sum reaches this limit. */
	private static final float MAX_TOTAL_WEIGHT = 512;

	private static final double HALF_BUCKET = 0.5;

	private final float[] weights = new float[BUCKETS];

	private float totalWeight;

	private long count;

	/**
	 * Adds an observation.
	 * @param nanos the run time in nanoseconds
	 */
	public void add(long nanos) {
		this.weights[bucket(nanos)]++;
		this.totalWeight++;
		this.count++;
		if (this.totalWeight >= MAX_TOTAL_WEIGHT) {
			for (int i = 0; i < BUCKETS; i++) {
				this.weights[i] /= 2;
			}
			this.totalWeight /= 2;
		}
	}

	/**
	 * Returns the total number of observations.
	 * @return the number
	 */
	public long count() {
		return this.count;
	}

	/**
	 * Returns a quantile.
	 * @param fraction fraction of the observations below the quantile, from 0 to 1
	 * @return the run time in nanoseconds, 0 without observations
	 */
	public double quantile(double fraction) {
		double remaining = fraction * this.totalWeight;
		for (int i = 0; i < BUCKETS; i++) {
			remaining -= this.weights[i];
			if (remaining <= 0 && this.weights[i] > 0) {
				return midpoint(i);
			}
		}
		return 0;
	}

	/**
	 * Returns the mean of the observations below a quantile.
	 * @param fraction fraction of the observations that are included, from 0 to 1
	 * @return the run time in nanoseconds, 0 without observations
	 */
	public double trimmedMean(double fraction) {
		double remaining = fraction * this.totalWeight;
		double sum = 0;
		double includedWeight = 0;
		for (int i = 0; i < BUCKETS && remaining > 0; i++) {
			double weight = Math.min(remaining, this.weights[i]);
			sum += weight * midpoint(i);
			includedWeight += weight;
			remaining -= weight;
		}
		return (includedWeight > 0) ? sum / includedWeight : 0;
	}

	private static int bucket(long nanos) {
		long value = Math.max(nanos, 1L << FIRST_OCTAVE);
		int octave = Long.SIZE - 1 - Long.numberOfLeadingZeros(value);
		int subBucket = (int) (value >>> (octave - SUB_BUCKET_BITS)) & (BUCKETS_PER_OCTAVE - 1);
		return Math.min((octave - FIRST_OCTAVE) * BUCKETS_PER_OCTAVE + subBucket, BUCKETS - 1);
	}

	private static double midpoint(int bucket) {
		double start = 1L << (FIRST_OCTAVE + bucket / BUCKETS_PER_OCTAVE);
		return start * (1 + (bucket % BUCKETS_PER_OCTAVE + HALF_BUCKET) / BUCKETS_PER_OCTAVE);
	}

}
