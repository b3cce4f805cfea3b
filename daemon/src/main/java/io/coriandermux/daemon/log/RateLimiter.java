package io.coriandermux.daemon.log;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits the rate of log records per event number, so that a burst of one event neither
 * fills the log nor hides other events. The next record that passes carries the number of
 * records suppressed before it.
 */
final class RateLimiter {

	private static final long WINDOW_NANOS = 1_000_000_000L;

	private static final int RECORDS_PER_WINDOW = 20;

	/**
	 * The records of a batch or run explain a failure only if none is missing. An entry
	 * that serves 100 batches of 4 tasks per second writes about this many of each kind.
	 */
	private static final int REQUEST_RECORDS_PER_WINDOW = 400;

	/** Events from this number to the last one concern a single batch or run. */
	private static final int FIRST_REQUEST_EVENT = 2510;

	private static final int LAST_REQUEST_EVENT = 2799;

	private final Map<Integer, Window> windows = new LinkedHashMap<>();

	/**
	 * Counts an event and decides whether it is logged.
	 * @param number number of the event
	 * @param nowNanos monotonic time in nanoseconds
	 * @return the number of records suppressed since the last one that passed, or -1 if
	 * this one is suppressed
	 */
	long admit(int number, long nowNanos) {
		Window window = this.windows.computeIfAbsent(number, (key) -> new Window(nowNanos));
		if (nowNanos - window.startNanos >= WINDOW_NANOS) {
			window.startNanos = nowNanos;
			window.records = 0;
		}
		boolean requestEvent = number >= FIRST_REQUEST_EVENT && number <= LAST_REQUEST_EVENT;
		if (window.records >= (requestEvent ? REQUEST_RECORDS_PER_WINDOW : RECORDS_PER_WINDOW)) {
			window.suppressed++;
			return -1;
		}
		window.records++;
		long suppressed = window.suppressed;
		window.suppressed = 0;
		return suppressed;
	}

	private static final class Window {

		private long startNanos;

		private int records;

		private long suppressed;

		Window(long startNanos) {
			this.startNanos = startNanos;
		}

	}

}
