package io.coriandermux.core.lease;

/**
 * Timeout for the answer to a start order, derived from the answer times of earlier
 * orders like the retransmission timeout of TCP (RFC 6298).
 */
final class AnswerTimeout {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/** The timeout is checked once per tick, every 20 ms. */
	private static final long MIN_NANOS = 20 * NANOS_PER_MILLI;

	private static final double MEAN_WEIGHT = 1.0 / 8;

	private static final double DEVIATION_WEIGHT = 1.0 / 4;

	private static final int DEVIATIONS = 4;

	private final long maxNanos;

	private double meanNanos;

	private double deviationNanos;

	private boolean known;

	/**
	 * Creates the timeout without observations, which is the maximum.
	 * @param maxMillis maximum in milliseconds
	 */
	AnswerTimeout(long maxMillis) {
		this.maxNanos = maxMillis * NANOS_PER_MILLI;
	}

	/**
	 * Records the time until an answer.
	 * @param answerNanos the time in nanoseconds
	 */
	void observe(long answerNanos) {
		if (!this.known) {
			this.known = true;
			this.meanNanos = answerNanos;
			this.deviationNanos = answerNanos / 2.0;
			return;
		}
		this.deviationNanos += DEVIATION_WEIGHT * (Math.abs(answerNanos - this.meanNanos) - this.deviationNanos);
		this.meanNanos += MEAN_WEIGHT * (answerNanos - this.meanNanos);
	}

	/**
	 * Returns the timeout.
	 * @return the timeout in nanoseconds
	 */
	long nanos() {
		if (!this.known) {
			return this.maxNanos;
		}
		long derived = (long) (this.meanNanos + DEVIATIONS * this.deviationNanos);
		return Math.min(this.maxNanos, Math.max(MIN_NANOS, derived));
	}

}
