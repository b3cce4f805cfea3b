package io.coriandermux.core.dispatch;

/**
 * Exponentially decaying average of the rate at which an entry's runs complete, in
 * millicores times milliseconds of work per millisecond. When all endpoints are full, it
 * equals the entry's share of the pool.
 */
final class DrainRate {

	private static final double NANOS_PER_MILLI = 1e6;

	/** Much longer than a typical run, much shorter than a fluctuation of the load. */
	private static final double TIME_CONSTANT_MILLIS = 700;

	private double workPerMilli;

	private long updatedNanos;

	/**
	 * Adds a run that has ended.
	 * @param millicores processor capacity that the run held
	 * @param runMillis duration of the run in milliseconds
	 * @param nowNanos the current time on the monotonic clock
	 */
	void addRun(long millicores, long runMillis, long nowNanos) {
		decay(nowNanos);
		this.workPerMilli += millicores * runMillis / TIME_CONSTANT_MILLIS;
	}

	/**
	 * Predicts the queueing time behind an amount of work.
	 * @param work the work ahead in the queue, in millicores times milliseconds
	 * @param nowNanos the current time on the monotonic clock
	 * @return the predicted queueing time in milliseconds, 0 if no rate is known
	 */
	double predictWaitMillis(double work, long nowNanos) {
		decay(nowNanos);
		return (this.workPerMilli >= 1) ? work / this.workPerMilli : 0;
	}

	private void decay(long nowNanos) {
		double passedMillis = (nowNanos - this.updatedNanos) / NANOS_PER_MILLI;
		this.workPerMilli *= Math.exp(-passedMillis / TIME_CONSTANT_MILLIS);
		this.updatedNanos = nowNanos;
	}

}
