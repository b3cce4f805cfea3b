package io.coriandermux.daemon.batch;

import java.util.concurrent.TimeUnit;

import io.coriandermux.daemon.settings.ProcessSettings;
import io.coriandermux.wire.LinkSettings;

/**
 * Timeouts and intervals of the processes that serve batches.
 */
final class BatchIntervals {

	/**
	 * Lease of the announcement. It is renewed after a third of this time, so a process
	 * announces itself again within 2 s after the store is available again.
	 */
	static final long ANNOUNCEMENT_LEASE_MILLIS = 6_000;

	/**
	 * Must be short because a configuration has to be in force within 2 s, even if the
	 * connection of a watch no longer delivers changes.
	 */
	static final long CONFIG_WATCH_TIMEOUT_MILLIS = 800;

	/**
	 * May be longer because new processes are rare and a lost watch only delays their
	 * first work.
	 */
	static final long MEMBERS_WATCH_TIMEOUT_MILLIS = 3_000;

	/**
	 * A guard pings an entry every 250 ms while the entry has runs at its endpoint, and
	 * every 500 ms otherwise.
	 */
	private static final long SILENCE_TIMEOUT_MILLIS = 700;

	/** A connection is established within a few round trips of at most 2 ms each. */
	private static final long HANDSHAKE_TIMEOUT_MILLIS = 500;

	/**
	 * Time reserved at the end of a shutdown for closing the ports and removing the
	 * announcement before the process is killed.
	 */
	private static final long CLOSE_RESERVE_MILLIS = 700;

	private BatchIntervals() {
	}

	static long shutdownLimitMillis(ProcessSettings settings) {
		return settings.drainMillis() - CLOSE_RESERVE_MILLIS;
	}

	static LinkSettings linkSettings() {
		LinkSettings defaults = LinkSettings.DEFAULTS;
		return new LinkSettings(defaults.heartbeatIntervalNanos(),
				TimeUnit.MILLISECONDS.toNanos(SILENCE_TIMEOUT_MILLIS),
				TimeUnit.MILLISECONDS.toNanos(HANDSHAKE_TIMEOUT_MILLIS), defaults.reconnectIntervalNanos(),
				defaults.maxConnections(), defaults.maxUnsentBytes(), true);
	}

}
