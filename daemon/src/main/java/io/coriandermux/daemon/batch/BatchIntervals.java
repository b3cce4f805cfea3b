package io.coriandermux.daemon.batch;

import java.util.concurrent.TimeUnit;

import io.coriandermux.daemon.settings.ProcessSettings;
import io.coriandermux.wire.LinkSettings;

/**
 * Intervals of the processes that serve batches.
 */
final class BatchIntervals {

	/** Entries announce themselves again within 2 s after the store is back. */
	static final long LEASE_MILLIS = 6_000;

	/**
	 * The configuration has to be in force within 2 s, also if a watch has gone silent.
	 */
	static final long CONFIG_WATCH_MILLIS = 800;

	/** A new member is rare, and a lost watch only delays its first work. */
	static final long MEMBERS_WATCH_MILLIS = 3_000;

	/** Pings of the sessions cross each link four times a second. */
	private static final long SILENT_MILLIS = 700;

	/** A new connection is up within a few round trips, of 2 ms at most. */
	private static final long ANSWER_MILLIS = 500;

	/** Ports are closed and the announcement is removed before the process is killed. */
	private static final long CLOSE_MILLIS = 700;

	private BatchIntervals() {
	}

	static long shutdownMillis(ProcessSettings settings) {
		return settings.drainMillis() - CLOSE_MILLIS;
	}

	static LinkSettings links() {
		LinkSettings usual = LinkSettings.DEFAULTS;
		return new LinkSettings(usual.heartbeatNanos(), TimeUnit.MILLISECONDS.toNanos(SILENT_MILLIS),
				TimeUnit.MILLISECONDS.toNanos(ANSWER_MILLIS), usual.retryNanos(), usual.maxConnections(),
				usual.maxUnsentBytes(), true);
	}

}
