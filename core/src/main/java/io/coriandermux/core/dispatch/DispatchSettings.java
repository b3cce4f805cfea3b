package io.coriandermux.core.dispatch;

/**
 * Timeouts and time allowances of batch dispatch at an entry.
 *
 * @param guardTimeoutMillis time without messages after which a guard is lost, in
 * milliseconds
 * @param runEndMillis time after the loss of a guard at which its runs have certainly
 * ended, in milliseconds
 * @param overheadMillis overhead of a run in addition to its work, in milliseconds
 * @param warmUpMillis time after the start of the entry in which a batch may wait for the
 * first endpoints of its pool, in milliseconds
 * @param minShutdownMillis minimum time between the request to shut down and the end of
 * the process, in milliseconds
 * @param minBatchMillis minimum remaining time in which a batch is accepted during
 * shutdown, in milliseconds
 * @param replyMarginMillis time before the end of a caller's timeout at which an
 * unfinished batch is answered, in milliseconds
 */
public record DispatchSettings(long guardTimeoutMillis, long runEndMillis, long overheadMillis, long warmUpMillis,
		long minShutdownMillis, long minBatchMillis, long replyMarginMillis) {

	/** A silent link is replaced after 700 ms, and the new link has 500 ms to respond. */
	private static final long GUARD_TIMEOUT_MILLIS = 1_200;

	/**
	 * A guard is lost after 1.2 s without messages. If it is alive, it has stopped the
	 * runs when its session expired, 900 ms after the last acknowledged ping. If it died,
	 * the lease of its endpoint has expired 850 ms after its last poll. The remaining
	 * time allows for two repetitions of a stop order.
	 */
	private static final long RUN_END_MILLIS = 500;

	/**
	 * Two hops of up to 1 ms between availability zones, a start order and a poll at the
	 * endpoint.
	 */
	private static final long OVERHEAD_MILLIS = 12;

	/**
	 * After a power failure, entries start half a second before guards, and an endpoint
	 * reports every 1.5 s.
	 */
	private static final long WARM_UP_MILLIS = 3_000;

	/**
	 * The load balancer stops opening connections after two failed health checks, a
	 * second apart.
	 */
	private static final long MIN_SHUTDOWN_MILLIS = 2_500;

	/** Even the shortest tasks may wait some hundred milliseconds for free capacity. */
	private static final long MIN_BATCH_MILLIS = 400;

	/** The answer has to reach the caller, up to 3 ms away, before its timeout. */
	private static final long REPLY_MARGIN_MILLIS = 40;

	/**
	 * Returns the default settings.
	 * @return the settings
	 */
	public static DispatchSettings defaults() {
		return new DispatchSettings(GUARD_TIMEOUT_MILLIS, RUN_END_MILLIS, OVERHEAD_MILLIS, WARM_UP_MILLIS,
				MIN_SHUTDOWN_MILLIS, MIN_BATCH_MILLIS, REPLY_MARGIN_MILLIS);
	}

}
