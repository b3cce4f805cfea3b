package io.coriandermux.core.dispatch;

/**
 * Objective for the response time of a batch. It is proportional to the run time of the
 * tasks at average speed, plus a fixed part, so how much time is left also depends on the
 * unknown run time.
 *
 * @param factor multiple of the run time
 * @param extraNanos fixed part in nanoseconds
 * @param typicalNanos median of the run time at average speed in nanoseconds
 * @param logSpread standard deviation of the logarithm of the run time
 */
record ResponseObjective(double factor, long extraNanos, double typicalNanos, double logSpread) {

	/** Even run times that never varied may vary in the future. */
	private static final double MIN_LOG_SPREAD = 0.1;

	/** With this factor, the logistic function approximates the normal distribution. */
	private static final double LOGISTIC_FACTOR = 1.702;

	/**
	 * Returns the probability that a task meets the objective.
	 * @param slowness run time at the endpoint relative to average speed
	 * @param elapsedNanos time from the arrival of the batch to the start of the task,
	 * with the overhead of a run
	 * @return the probability
	 */
	double probabilityOnTime(double slowness, long elapsedNanos) {
		double slackNanos = this.extraNanos - elapsedNanos;
		double excess = slowness - this.factor;
		if (excess * slackNanos <= 0) {
			return (slackNanos >= 0) ? 1 : 0;
		}
		double limitNanos = slackNanos / excess;
		double deviations = Math.log(limitNanos / this.typicalNanos) / Math.max(MIN_LOG_SPREAD, this.logSpread);
		double below = 1 / (1 + Math.exp(-LOGISTIC_FACTOR * deviations));
		return (excess > 0) ? below : 1 - below;
	}

}
