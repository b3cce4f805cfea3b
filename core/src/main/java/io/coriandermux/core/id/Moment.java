package io.coriandermux.core.id;

/**
 * A point in time on the clocks of one process.
 *
 * @param nanos reading of the monotonic clock in nanoseconds; comparable only within one
 * process
 * @param epochMillis wall clock in milliseconds since 1970-01-01 UTC
 */
public record Moment(long nanos, long epochMillis) {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/**
	 * Returns the moment that is later by the given time.
	 * @param deltaNanos the time to add in nanoseconds
	 * @return the later moment
	 */
	public Moment plusNanos(long deltaNanos) {
		long total = this.nanos + deltaNanos;
		return new Moment(total, this.epochMillis + deltaNanos / NANOS_PER_MILLI);
	}

}
