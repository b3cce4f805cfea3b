package io.coriandermux.core.dispatch;

/**
 * Times of the entry's side.
 *
 * @param silenceMillis silence after which a guard counts as lost, in milliseconds
 * @param settleMillis time after the loss of a guard at which its runs have certainly
 * ended, in milliseconds
 * @param overheadMillis time that a run takes besides its work, in milliseconds
 * @param warmUpMillis time after the start in which a batch may wait for the first
 * endpoints of its pool, in milliseconds
 * @param leaveMillis least time between the request to shut down and the end, in
 * milliseconds
 * @param leastRunMillis least time that a batch needs when the entry shuts down, in
 * milliseconds
 * @param replyMarginMillis time before the end of a caller's wait at which the batch is
 * given up, in milliseconds
 */
public record DispatchSettings(long silenceMillis, long settleMillis, long overheadMillis, long warmUpMillis,
		long leaveMillis, long leastRunMillis, long replyMarginMillis) {

	/** A link is replaced after 700 ms, and a new one has 500 ms to answer. */
	private static final long SILENCE_MILLIS = 1_200;

	/**
	 * A guard is lost after 1.2 s of silence. If it lives, it has stopped the runs when
	 * its session expired, 900 ms after the last ping that was confirmed; if it died
	 * before, the lease of its endpoint has lapsed 850 ms after its last poll. The rest
	 * allows for an order to stop that has to be repeated twice.
	 */
	private static final long SETTLE_MILLIS = 500;

	/** Two hops between zones of up to 1 ms, an order and a poll at the endpoint. */
	private static final long OVERHEAD_MILLIS = 12;

	/**
	 * After a loss of power entries start half a second before guards, and an endpoint
	 * reports each 1.5 s.
	 */
	private static final long WARM_UP_MILLIS = 3_000;

	/** The load balancer stops sending connections after two misses, a second apart. */
	private static final long LEAVE_MILLIS = 2_500;

	/** The shortest tasks of a batch may find no room for some hundred milliseconds. */
	private static final long LEAST_RUN_MILLIS = 400;

	/** The answer has to reach the caller, up to 3 ms away, before it stops waiting. */
	private static final long REPLY_MARGIN_MILLIS = 40;

	/**
	 * Returns the usual settings.
	 * @return the settings
	 */
	public static DispatchSettings usual() {
		return new DispatchSettings(SILENCE_MILLIS, SETTLE_MILLIS, OVERHEAD_MILLIS, WARM_UP_MILLIS, LEAVE_MILLIS,
				LEAST_RUN_MILLIS, REPLY_MARGIN_MILLIS);
	}

}
