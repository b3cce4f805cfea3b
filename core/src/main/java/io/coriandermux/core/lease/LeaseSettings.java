package io.coriandermux.core.lease;

/**
 * Timeouts and intervals of a guard whose endpoint runs tasks under a lease.
 *
 * @param leaseMillis length of the lease that an order grants to the endpoint, in
 * milliseconds
 * @param sessionMillis time after the last confirmed ping at which a session expires, in
 * milliseconds
 * @param permissionMillis time after the last confirmed ping at which the lease of an
 * entry's runs has certainly expired, in milliseconds
 * @param pingMillis interval between two pings in milliseconds
 * @param pollMillis maximum time for which the endpoint delays the answer to a poll, in
 * milliseconds
 * @param callMillis timeout of a call to the endpoint in milliseconds
 * @param stallMillis time without progress after which a run is stopped, in milliseconds
 */
public record LeaseSettings(long leaseMillis, long sessionMillis, long permissionMillis, long pingMillis,
		long pollMillis, long callMillis, long stallMillis) {

	/** Long enough that the lease outlasts two consecutive unanswered polls. */
	private static final long LEASE_MILLIS = 800;

	/**
	 * A caller whose entry died retries at another entry after 1.3 s at the earliest. The
	 * tasks of the dead entry must be stopped by then.
	 */
	private static final long SESSION_MILLIS = 900;

	/**
	 * The lease expires by then without any stop order. The remaining 100 ms before a
	 * caller retries allow for the endpoint to end the runs and for the caller's message.
	 */
	private static final long PERMISSION_MILLIS = 1_200;

	/** Allows three pings within the session timeout. */
	private static final long PING_MILLIS = 250;

	/** Well below the length of the lease, because polls renew the lease. */
	private static final long POLL_MILLIS = 250;

	/** The endpoint runs on the same VM and answers within a few milliseconds. */
	private static final long CALL_MILLIS = 150;

	/**
	 * Endpoints report progress in percent. A task of 8 s on an endpoint that is 6 times
	 * slower than usual advances by one percent every 500 ms.
	 */
	private static final long STALL_MILLIS = 700;

	/**
	 * Returns the default settings, with the lease limited to what the endpoint grants.
	 * @param maxLeaseMillis maximum lease that the endpoint grants, in milliseconds
	 * @return the settings
	 */
	public static LeaseSettings of(long maxLeaseMillis) {
		return new LeaseSettings(Math.min(LEASE_MILLIS, maxLeaseMillis), SESSION_MILLIS, PERMISSION_MILLIS, PING_MILLIS,
				POLL_MILLIS, CALL_MILLIS, STALL_MILLIS);
	}

}
