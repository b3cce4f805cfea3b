package io.coriandermux.core.estimate;

/**
 * Slowness of an endpoint relative to the average, learned by comparing run times with
 * their estimates. A Kalman filter of the logarithm weights an observation by how much
 * the observations of this endpoint vary.
 */
public final class EndpointSpeed {

	/** One run changes the slowness by at most a factor of e^2, about seven. */
	private static final double MAX_LOG_STEP = 2;

	/** Variance of the logarithm of the speeds of unknown endpoints. */
	private static final double PRIOR_VARIANCE = 0.25;

	/** Variance that the slowness gains between two observations, since it may change. */
	private static final double DRIFT_VARIANCE = 2e-4;

	/** Initial variance of an observation. */
	private static final double PRIOR_NOISE = 0.1;

	/** Weight of an observation in the moving average of the noise. */
	private static final double NOISE_WEIGHT = 0.05;

	private static final double MIN_NOISE = 0.01;

	private final SpeedBaseline baseline;

	private double logSlowness;

	private double variance = PRIOR_VARIANCE;

	private double noise = PRIOR_NOISE;

	/**
	 * Creates the speed of an endpoint without observations, which is the average.
	 * @param baseline baseline shared by all endpoints that are compared
	 */
	public EndpointSpeed(SpeedBaseline baseline) {
		this.baseline = baseline;
		this.logSlowness = baseline.meanLogSlowness();
		baseline.addEndpoint();
		baseline.adjustSum(this.logSlowness);
	}

	/**
	 * Removes the endpoint from the shared baseline.
	 */
	public void removeFromBaseline() {
		this.baseline.removeEndpoint(this.logSlowness);
	}

	/**
	 * Updates the slowness from the run time of a task.
	 * @param typicalNanos median run time on an endpoint of average speed, in nanoseconds
	 * @param runNanos run time on this endpoint in nanoseconds
	 */
	public void observe(long typicalNanos, long runNanos) {
		double observed = Math.log((double) Math.max(runNanos, 1) / Math.max(typicalNanos, 1))
				+ this.baseline.meanLogSlowness();
		double step = Math.max(-MAX_LOG_STEP, Math.min(MAX_LOG_STEP, observed - this.logSlowness));
		this.variance += DRIFT_VARIANCE;
		double gain = this.variance / (this.variance + this.noise);
		this.noise = Math.max(MIN_NOISE, this.noise + NOISE_WEIGHT * (step * step - this.variance - this.noise));
		this.variance *= 1 - gain;
		double change = step * gain;
		this.logSlowness += change;
		this.baseline.adjustSum(change);
	}

	/**
	 * Returns the run time on this endpoint relative to an average endpoint.
	 * @return the factor, 1 for an average endpoint
	 */
	public double slowness() {
		return Math.exp(this.logSlowness - this.baseline.meanLogSlowness());
	}

}
