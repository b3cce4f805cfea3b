package io.coriandermux.core.estimate;

/**
 * Slowness of an endpoint relative to the average, learned by comparing run times with
 * their estimates. The mean is taken of logarithms to limit the effect of one very long
 * run.
 */
public final class EndpointSpeed {

	/** One run changes the slowness by at most a factor of e^2, about seven. */
	private static final double MAX_LOG_STEP = 2;

	/** Weight of a new observation after many observations. */
	private static final double MIN_WEIGHT = 0.01;

	/** Weight of the initial assumption of average speed, in observations. */
	private static final int PRIOR_OBSERVATIONS = 4;

	private final SpeedBaseline baseline;

	private double logSlowness;

	private long count;

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
		this.count++;
		double change = step * Math.max(MIN_WEIGHT, 1.0 / (this.count + PRIOR_OBSERVATIONS));
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
