package io.coriandermux.core.estimate;

import java.util.LinkedHashMap;
import java.util.Map;

import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.RouteName;

/**
 * Estimates run times per route and owner. Declared run times are often far off, so once
 * enough tasks of the same route and owner have ended, they are used only as far as they
 * have predicted the run times of these tasks.
 */
public final class RunTimeEstimator {

	/** Estimate without observations and without a declared run time. */
	private static final long DEFAULT_NANOS = 300_000_000L;

	/** Upper limit of the declared run times that are used. */
	private static final long MAX_DECLARED_MILLIS = 60_000L;

	/** Observations after which a declared run time is no longer used as it is. */
	private static final int PRIOR_OBSERVATIONS = 8;

	/** Observations between two updates of the estimate. */
	private static final int REFRESH_INTERVAL = 8;

	/**
	 * Excludes the longest 5% of the runs, so that rare, nearly endless ones do not
	 * count.
	 */
	private static final double TRIMMED_MEAN_FRACTION = 0.95;

	private static final double MEDIAN_QUANTILE = 0.5;

	private static final double LOW_QUANTILE = 0.05;

	/** The 5th percentile of a normal distribution in standard deviations. */
	private static final double LOW_QUANTILE_DEVIATIONS = -1.645;

	private static final double HIGH_QUANTILE = 0.84;

	/**
	 * Standard deviation of the logarithm of run times without observations: run times of
	 * a route vary by about a factor of two.
	 */
	private static final double DEFAULT_LOG_SPREAD = 0.6;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final Map<RouteOwner, RunTimeStatistics> statistics = new LinkedHashMap<>();

	/**
	 * Estimates the run time of a task.
	 * @param route its route
	 * @param owner its owner
	 * @param declaredMillis declared run time in milliseconds, 0 if not declared
	 * @return the estimate
	 */
	public RunTimeEstimate estimate(RouteName route, OwnerId owner, long declaredMillis) {
		RunTimeStatistics known = this.statistics.get(new RouteOwner(route, owner));
		if (known != null && declaredMillis > 0 && known.regression.isLearned()) {
			return known.predict(declaredMillis * NANOS_PER_MILLI);
		}
		if (known != null && known.estimate.learned()) {
			return known.estimate;
		}
		long priorNanos = DEFAULT_NANOS;
		if (declaredMillis > 0) {
			priorNanos = Math.min(declaredMillis, MAX_DECLARED_MILLIS) * NANOS_PER_MILLI;
		}
		if (known == null) {
			return new RunTimeEstimate(priorNanos, priorNanos, 0, DEFAULT_LOG_SPREAD, false);
		}
		double observedWeight = (double) known.histogram.count() / PRIOR_OBSERVATIONS;
		double blended = Math.exp(observedWeight * Math.log(known.estimate.expectedNanos())
				+ (1 - observedWeight) * Math.log(priorNanos));
		return new RunTimeEstimate((long) blended, (long) blended, 0, DEFAULT_LOG_SPREAD, false);
	}

	/**
	 * Records the run time of a task with a declared run time.
	 * @param route its route
	 * @param owner its owner
	 * @param declaredMillis declared run time in milliseconds, 0 if not declared
	 * @param nanos its run time in nanoseconds, scaled to an endpoint of average speed
	 */
	public void observe(RouteName route, OwnerId owner, long declaredMillis, long nanos) {
		observe(route, owner, nanos);
		if (declaredMillis > 0) {
			this.statistics.get(new RouteOwner(route, owner)).regression.add(declaredMillis * NANOS_PER_MILLI, nanos);
		}
	}

	/**
	 * Records the run time of a task.
	 * @param route its route
	 * @param owner its owner
	 * @param nanos its run time in nanoseconds, scaled to an endpoint of average speed
	 */
	public void observe(RouteName route, OwnerId owner, long nanos) {
		this.statistics.computeIfAbsent(new RouteOwner(route, owner), (key) -> new RunTimeStatistics()).add(nanos);
	}

	/**
	 * Returns the number of pairs of route and owner with observations.
	 * @return the number
	 */
	public int size() {
		return this.statistics.size();
	}

	private record RouteOwner(RouteName route, OwnerId owner) {
	}

	private static final class RunTimeStatistics {

		private final RunTimeHistogram histogram = new RunTimeHistogram();

		private final DeclaredTimeRegression regression = new DeclaredTimeRegression();

		private RunTimeEstimate estimate;

		private void add(long nanos) {
			this.histogram.add(nanos);
			long count = this.histogram.count();
			if (count <= PRIOR_OBSERVATIONS || count % REFRESH_INTERVAL == 0) {
				this.estimate = new RunTimeEstimate((long) this.histogram.trimmedMean(TRIMMED_MEAN_FRACTION),
						(long) this.histogram.quantile(MEDIAN_QUANTILE), (long) this.histogram.quantile(LOW_QUANTILE),
						logSpread(), count >= PRIOR_OBSERVATIONS);
			}
		}

		// In a normal distribution, the 84th percentile is one standard deviation above
		// the median.
		private double logSpread() {
			return Math.log(this.histogram.quantile(HIGH_QUANTILE) / this.histogram.quantile(MEDIAN_QUANTILE));
		}

		private RunTimeEstimate predict(double declaredNanos) {
			double median = this.regression.predictNanos(declaredNanos);
			double spread = this.regression.logSpread();
			double low = median * Math.exp(LOW_QUANTILE_DEVIATIONS * spread);
			double mean = median * Math.exp(spread * spread / 2);
			return new RunTimeEstimate((long) mean, (long) median, (long) low, spread, true);
		}

	}

}
