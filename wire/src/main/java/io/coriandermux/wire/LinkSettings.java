package io.coriandermux.wire;

import java.util.concurrent.TimeUnit;

/**
 * Intervals and limits of links.
 *
 * @param heartbeatIntervalNanos interval of heartbeats in nanoseconds
 * @param silenceTimeoutNanos silence in nanoseconds after which a connection is replaced
 * @param handshakeTimeoutNanos timeout of the handshake of a new connection in
 * nanoseconds
 * @param reconnectIntervalNanos minimum interval in nanoseconds between two connection
 * attempts
 * @param maxConnections maximum number of simultaneous connections
 * @param maxUnsentBytes maximum number of unsent bytes for a peer that does not read
 * @param heartbeatOnlyIfIdle whether a heartbeat is sent only if nothing else was sent
 * for the interval; revisions and echoes in such heartbeats may be late
 */
public record LinkSettings(long heartbeatIntervalNanos, long silenceTimeoutNanos, long handshakeTimeoutNanos,
		long reconnectIntervalNanos, int maxConnections, long maxUnsentBytes, boolean heartbeatOnlyIfIdle) {

	private static final long HEARTBEAT_INTERVAL_MILLIS = 500;

	private static final long SILENCE_TIMEOUT_MILLIS = 1500;

	private static final long HANDSHAKE_TIMEOUT_MILLIS = 1500;

	private static final long RECONNECT_INTERVAL_MILLIS = 200;

	private static final int MAX_CONNECTIONS = 4096;

	private static final long MAX_UNSENT_BYTES = 16L * 1024 * 1024;

	/** Default intervals and limits. */
	public static final LinkSettings DEFAULTS = new LinkSettings(
			TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_INTERVAL_MILLIS),
			TimeUnit.MILLISECONDS.toNanos(SILENCE_TIMEOUT_MILLIS),
			TimeUnit.MILLISECONDS.toNanos(HANDSHAKE_TIMEOUT_MILLIS),
			TimeUnit.MILLISECONDS.toNanos(RECONNECT_INTERVAL_MILLIS), MAX_CONNECTIONS, MAX_UNSENT_BYTES, false);

}
