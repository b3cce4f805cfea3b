package io.coriandermux.core.estimate;

/**
 * Regression of the logarithm of run times on that of the declared run times of a route.
 * Its slope shows how far the declarations of the route can be trusted: it is near 1 if
 * they are accurate, and near 0 if they are unrelated to the run times.
 */
final class DeclaredTimeRegression {

	/** The weight of old observations halves in about 350 newer ones. */
	private static final double DECAY = 1 - 1.0 / 512;

	/** Observations before the regression is used. */
	private static final double MIN_OBSERVATIONS = 8;

	/** Weight of the initial slope in observations. */
	private static final double PRIOR_OBSERVATIONS = 8;

	private static final double PRIOR_SLOPE = 0.5;

	/** Variance of the logarithm of the declared run times that the prior assumes. */
	private static final double PRIOR_VARIANCE = 0.25;

	/**
	 * Limits the effect of one run that is far from its declaration, such as a run that
	 * hung.
	 */
	private static final double MAX_LOG_ERROR = 2.5;

	private double weight;

	private double meanDeclared;

	private double meanRun;

	private double declaredSquares;

	private double products;

	private double runSquares;

	/**
	 * Adds a run.
	 * @param declaredNanos the declared run time in nanoseconds
	 * @param runNanos the run time on an endpoint of average speed in nanoseconds
	 */
	void add(double declaredNanos, double runNanos) {
		double declared = Math.log(Math.max(declaredNanos, 1));
		double run = Math.log(Math.max(runNanos, 1));
		if (isLearned()) {
			double predicted = predictLog(declared);
			run = Math.max(predicted - MAX_LOG_ERROR, Math.min(predicted + MAX_LOG_ERROR, run));
		}
		this.weight = this.weight * DECAY + 1;
		double declaredDelta = declared - this.meanDeclared;
		double runDelta = run - this.meanRun;
		this.meanDeclared += declaredDelta / this.weight;
		this.meanRun += runDelta / this.weight;
		this.declaredSquares = this.declaredSquares * DECAY + declaredDelta * (declared - this.meanDeclared);
		this.products = this.products * DECAY + declaredDelta * (run - this.meanRun);
		this.runSquares = this.runSquares * DECAY + runDelta * (run - this.meanRun);
	}

	/**
	 * Returns whether enough runs were observed.
	 * @return whether the prediction may be used
	 */
	boolean isLearned() {
		return this.weight >= MIN_OBSERVATIONS;
	}

	/**
	 * Predicts the median of the run time.
	 * @param declaredNanos the declared run time in nanoseconds
	 * @return the median on an endpoint of average speed in nanoseconds
	 */
	double predictNanos(double declaredNanos) {
		return Math.exp(predictLog(Math.log(Math.max(declaredNanos, 1))));
	}

	/**
	 * Returns the standard deviation of the logarithm of the run time around its
	 * prediction.
	 * @return the deviation
	 */
	double logSpread() {
		double slope = slope();
		double residuals = this.runSquares - 2 * slope * this.products + slope * slope * this.declaredSquares;
		return Math.sqrt(Math.max(0, residuals) / this.weight);
	}

	private double predictLog(double declared) {
		return this.meanRun + slope() * (declared - this.meanDeclared);
	}

	private double slope() {
		double prior = PRIOR_OBSERVATIONS * PRIOR_VARIANCE;
		return Math.max(0, Math.min(1, (this.products + PRIOR_SLOPE * prior) / (this.declaredSquares + prior)));
	}

}
