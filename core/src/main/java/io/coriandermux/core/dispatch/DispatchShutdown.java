package io.coriandermux.core.dispatch;

import io.coriandermux.core.id.Moment;

/**
 * Progress of the shutdown of an entry.
 */
final class DispatchShutdown {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final DispatchSettings settings;

	private boolean begun;

	private long beginNanos;

	private long deadlineNanos;

	private boolean closed;

	DispatchShutdown(DispatchSettings settings) {
		this.settings = settings;
	}

	void begin(long limitMillis, Moment now) {
		this.begun = true;
		this.beginNanos = now.nanos();
		this.deadlineNanos = now.nanos() + limitMillis * NANOS_PER_MILLI;
	}

	/**
	 * Returns whether a batch is still accepted.
	 * @param expectedNanos its expected run time in nanoseconds
	 * @param now the current time
	 * @return whether it is expected to end in time
	 */
	boolean accepts(long expectedNanos, Moment now) {
		if (this.closed || !this.begun) {
			return !this.closed;
		}
		// Run times of a route vary by about a factor of two.
		long neededNanos = Math.max(2 * expectedNanos, this.settings.minBatchMillis() * NANOS_PER_MILLI);
		return now.nanos() + neededNanos <= this.deadlineNanos;
	}

	long remainingMillis(Moment now) {
		return (this.deadlineNanos - now.nanos()) / NANOS_PER_MILLI;
	}

	void close() {
		this.closed = true;
	}

	/**
	 * Finishes the shutdown if callers had time to disconnect.
	 * @param idle whether no batch is in progress
	 * @param now the current time
	 * @return whether the shutdown is finished
	 */
	boolean closeIfIdle(boolean idle, Moment now) {
		this.closed = this.closed || (this.begun && idle
				&& now.nanos() - this.beginNanos >= this.settings.minShutdownMillis() * NANOS_PER_MILLI);
		return this.closed;
	}

}
