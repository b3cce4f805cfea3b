package io.coriandermux.core.lease;

import java.util.OptionalLong;

/**
 * Readings of the endpoint's clock, and the time by which its lease has certainly
 * expired.
 */
final class EndpointClock {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/** An endpoint's clock may run 2% slow. */
	private static final double SLOWEST_RATE = 0.98;

	/** Time that an endpoint may take to end its runs after the lease expired. */
	private static final long STOP_MARGIN_NANOS = 30 * NANOS_PER_MILLI;

	/**
	 * From an older reading the expiry of a lease would be computed more than 40 ms early
	 * to allow for a slow clock.
	 */
	static final long MAX_READING_AGE_NANOS = 2_000 * NANOS_PER_MILLI;

	private long readingMillis;

	private long readingNanos;

	private boolean known;

	private long answeredNanos;

	private boolean granted;

	private long grantedUntilNanos;

	/**
	 * Records that the endpoint has answered.
	 * @param nowNanos the current time on the monotonic clock
	 */
	void recordAnswer(long nowNanos) {
		this.answeredNanos = nowNanos;
	}

	/**
	 * Records a reading of the clock. Answers may overtake each other, so a reading that
	 * is lower than the clock certainly is by now is ignored.
	 * @param clockMillis the endpoint's clock in milliseconds
	 * @param nowNanos the current time on the monotonic clock
	 */
	void recordReading(long clockMillis, long nowNanos) {
		recordAnswer(nowNanos);
		if (!this.known || clockMillis >= lowerBoundMillis(nowNanos)) {
			this.readingMillis = clockMillis;
			this.readingNanos = nowNanos;
			this.known = true;
		}
	}

	void reset() {
		this.known = false;
	}

	boolean isKnown() {
		return this.known;
	}

	/**
	 * Returns whether a new reading is needed before a full lease can be granted.
	 * @param nowNanos the current time on the monotonic clock
	 * @return whether there is no reading, or only an old one
	 */
	boolean isReadingOld(long nowNanos) {
		return !this.known || nowNanos - this.readingNanos > MAX_READING_AGE_NANOS;
	}

	/**
	 * Returns the time of the last answer of the endpoint.
	 * @return the time on the monotonic clock
	 */
	long answeredNanos() {
		return this.answeredNanos;
	}

	/**
	 * Grants a lease. It expires at the given time at the latest, also if the endpoint's
	 * clock is slow.
	 * @param untilNanos expiry of the lease on the monotonic clock
	 * @return expiry of the lease in milliseconds on the endpoint's clock, empty if there
	 * is no reading of that clock
	 */
	OptionalLong grantLease(long untilNanos) {
		if (!this.known) {
			return OptionalLong.empty();
		}
		if (!isGrantedBeyond(untilNanos)) {
			this.granted = true;
			this.grantedUntilNanos = untilNanos;
		}
		return OptionalLong.of(lowerBoundMillis(untilNanos));
	}

	/**
	 * Returns whether a granted lease lasts at least until a time.
	 * @param nanos the time on the monotonic clock
	 * @return whether one does
	 */
	boolean isGrantedBeyond(long nanos) {
		return this.granted && this.grantedUntilNanos - nanos >= 0;
	}

	boolean hasGranted() {
		return this.granted;
	}

	/**
	 * Returns the expiry of the lease.
	 * @return the time on the monotonic clock, not defined before the first grant
	 */
	long grantedUntilNanos() {
		return this.grantedUntilNanos;
	}

	/**
	 * Returns whether every granted lease has expired.
	 * @param nowNanos the current time on the monotonic clock
	 * @return whether no run can be active at the endpoint under a lease of this guard
	 */
	boolean isExpired(long nowNanos) {
		return !isGrantedBeyond(nowNanos - STOP_MARGIN_NANOS + 1);
	}

	private long lowerBoundMillis(long nanos) {
		return this.readingMillis + (long) Math.floor(SLOWEST_RATE * (nanos - this.readingNanos) / NANOS_PER_MILLI);
	}

}
