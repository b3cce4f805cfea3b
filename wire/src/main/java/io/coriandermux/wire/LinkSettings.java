package io.coriandermux.wire;

import java.util.concurrent.TimeUnit;

/**
 * Intervals and limits of links.
 *
 * @param heartbeatNanos interval of heartbeats in nanoseconds
 * @param silentNanos silence in nanoseconds after which a link is replaced
 * @param answerNanos time in nanoseconds that a new connection has for its handshake
 * @param retryNanos least interval in nanoseconds between two attempts to connect
 * @param maxConnections most connections at the same time
 * @param maxUnsentBytes most bytes that wait for a peer that does not read
 * @param idleOnly whether a heartbeat is sent only if nothing else was sent for the
 * interval; such heartbeats cannot carry revisions or echoes in time
 */
public record LinkSettings(long heartbeatNanos, long silentNanos, long answerNanos, long retryNanos, int maxConnections,
		long maxUnsentBytes, boolean idleOnly) {

	private static final long HEARTBEAT_MILLIS = 500;

	private static final long SILENT_MILLIS = 1500;

	private static final long ANSWER_MILLIS = 1500;

	private static final long RETRY_MILLIS = 200;

	private static final int MAX_CONNECTIONS = 4096;

	private static final long MAX_UNSENT_BYTES = 16L * 1024 * 1024;

	/** The values of the design page. */
	public static final LinkSettings DEFAULTS = new LinkSettings(TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_MILLIS),
			TimeUnit.MILLISECONDS.toNanos(SILENT_MILLIS), TimeUnit.MILLISECONDS.toNanos(ANSWER_MILLIS),
			TimeUnit.MILLISECONDS.toNanos(RETRY_MILLIS), MAX_CONNECTIONS, MAX_UNSENT_BYTES, false);

}
