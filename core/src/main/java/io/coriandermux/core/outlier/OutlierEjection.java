package io.coriandermux.core.outlier;

import java.util.Collection;
import java.util.function.Supplier;

/**
 * Ejects endpoints that fail far more often than the rest of their pool, and readmits
 * them after successful probes. If all endpoints fail at similar rates, the tasks are
 * assumed to be the cause, and no endpoint is ejected.
 */
public final class OutlierEjection {

	/** Minimum number of endpoints in a pool for each ejected endpoint. */
	private static final int MIN_ENDPOINTS_PER_EJECTION = 3;

	/** Ended tasks before an endpoint may be ejected. */
	private static final long MIN_OBSERVATIONS = 5;

	/**
	 * Difference to the mean failure rate of the other endpoints that causes ejection.
	 */
	private static final double EJECTION_THRESHOLD = 0.3;

	/** Consecutive successful probes before readmission. */
	private static final int PROBES_TO_READMIT = 3;

	private static final long INITIAL_BACKOFF_NANOS = 1_000_000_000L;

	private static final long MAX_BACKOFF_NANOS = 30_000_000_000L;

	/**
	 * Records the end of a task and ejects or readmits its endpoint if necessary.
	 * @param endpoint the endpoint
	 * @param pool supplies all endpoints of the pool, including this one; called only if
	 * the endpoint may be ejected, because building the list for each task is expensive
	 * @param success whether the task succeeded
	 * @param nowNanos the current time on the monotonic clock
	 * @return whether the endpoint was ejected or readmitted
	 */
	public boolean onTaskEnded(EndpointHealth endpoint, Supplier<Collection<EndpointHealth>> pool, boolean success,
			long nowNanos) {
		if (endpoint.isEjected()) {
			return onProbeEnded(endpoint, success, nowNanos);
		}
		endpoint.recordResult(success);
		if (success || endpoint.observations() < MIN_OBSERVATIONS) {
			return false;
		}
		Collection<EndpointHealth> endpoints = pool.get();
		int ejectedCount = 0;
		int otherCount = 0;
		double otherRates = 0;
		for (EndpointHealth other : endpoints) {
			if (other.isEjected()) {
				ejectedCount++;
			}
			else if (other != endpoint) {
				otherCount++;
				otherRates += other.failureRate();
			}
		}
		boolean canEject = (ejectedCount + 1) * MIN_ENDPOINTS_PER_EJECTION <= endpoints.size();
		if (!canEject || otherCount == 0 || endpoint.failureRate() - otherRates / otherCount < EJECTION_THRESHOLD) {
			return false;
		}
		endpoint.eject(nowNanos, INITIAL_BACKOFF_NANOS);
		return true;
	}

	private static boolean onProbeEnded(EndpointHealth endpoint, boolean success, long nowNanos) {
		if (!success) {
			endpoint.eject(nowNanos, Math.min(2 * endpoint.backoffNanos(), MAX_BACKOFF_NANOS));
			return false;
		}
		if (endpoint.recordProbeSuccess() < PROBES_TO_READMIT) {
			return false;
		}
		endpoint.readmit();
		return true;
	}

}
