package io.coriandermux.core.home;

/**
 * Time limits that the at-most-once guarantee relies on (see docs/at-most-once.md).
 */
public final class TimingLimits {

	/** How long an acknowledged heartbeat confirms an entry as home, in nanoseconds. */
	public static final long LEASE_NANOS = 5_000_000_000L;

	/**
	 * Maximum age of the confirmation of a home that reports a job as not run, in
	 * nanoseconds. It equals the time after which a silent link is replaced.
	 */
	public static final long MAX_CONFIRMATION_AGE_NANOS = 1_500_000_000L;

	/** Maximum age of the clock echo in a {@code Start}, in nanoseconds. */
	public static final long MAX_ECHO_AGE_NANOS = 2_000_000_000L;

	/** Maximum difference between any two wall clocks, in milliseconds. */
	public static final long MAX_SKEW_MILLIS = 2_000L;

	/**
	 * A job is certain to be younger than the fence of the majority of guards if its
	 * creation time is later than the fence by more than this, in milliseconds: the lease
	 * plus the clock skew.
	 */
	public static final long FENCE_MARGIN_MILLIS = 7_000L;

	private TimingLimits() {
	}

	/**
	 * Returns how long records and ledger entries are kept after their end. The retention
	 * is extended by the clock skew: the creation time in an id may be ahead by the skew,
	 * and such an id would otherwise be accepted after its record was dropped.
	 * @param retentionMillis retention of ids in milliseconds
	 * @return the duration in nanoseconds
	 */
	public static long keepNanos(long retentionMillis) {
		return (retentionMillis + MAX_SKEW_MILLIS) * 1_000_000L;
	}

}
