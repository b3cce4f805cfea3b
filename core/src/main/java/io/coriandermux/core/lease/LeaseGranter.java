package io.coriandermux.core.lease;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Grants the lease of an endpoint. One lease covers all runs there, so it is never
 * granted for longer than the run with the shortest permission may last: an entry permits
 * its runs for a limited time after each confirmation of its session, and a run that has
 * to stop, or that this guard does not know, has no permission.
 */
final class LeaseGranter {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/**
	 * A start order whose lease is shorter may arrive after the lease has expired, and
	 * the lease may expire before the next poll renews it.
	 */
	private static final long MIN_START_LEASE_NANOS = 200 * NANOS_PER_MILLI;

	/**
	 * Entries without runs are pinged about every 500 ms. An entry whose confirmation is
	 * older may start no run, because the present lease may outlast its permission.
	 */
	private static final long MAX_CONFIRMATION_AGE_NANOS = 650 * NANOS_PER_MILLI;

	private final long leaseNanos;

	private final long permissionNanos;

	private final EndpointClock clock;

	private final RunTable runs;

	private final EntrySessions sessions;

	LeaseGranter(LeaseSettings settings, EndpointClock clock, RunTable runs, EntrySessions sessions) {
		this.leaseNanos = settings.leaseMillis() * NANOS_PER_MILLI;
		this.permissionNanos = settings.permissionMillis() * NANOS_PER_MILLI;
		this.clock = clock;
		this.runs = runs;
		this.sessions = sessions;
	}

	/**
	 * Grants a lease that covers the present runs.
	 * @param nowNanos the current time on the monotonic clock
	 * @return expiry of the lease on the endpoint's clock in milliseconds, empty if the
	 * present lease must not be prolonged
	 */
	OptionalLong renew(long nowNanos) {
		long untilNanos = permittedUntilNanos(nowNanos);
		if (untilNanos <= nowNanos || this.clock.isGrantedBeyond(untilNanos)) {
			return OptionalLong.empty();
		}
		return this.clock.grantLease(untilNanos);
	}

	/**
	 * Grants a lease that covers the present runs and a new one.
	 * @param session session of the entry that requests the run
	 * @param nowNanos the current time on the monotonic clock
	 * @return expiry of the lease on the endpoint's clock in milliseconds, empty if the
	 * run must not start
	 */
	OptionalLong grantStart(EntrySession session, long nowNanos) {
		if (!isConfirmationRecent(session, nowNanos)) {
			return OptionalLong.empty();
		}
		long untilNanos = permittedUntilNanos(nowNanos);
		if (this.clock.isGrantedBeyond(untilNanos)) {
			// The new run is covered by the present lease in any case.
			untilNanos = this.clock.grantedUntilNanos();
		}
		if (untilNanos > sessionEndNanos(session) || untilNanos - nowNanos < MIN_START_LEASE_NANOS) {
			return OptionalLong.empty();
		}
		return this.clock.grantLease(untilNanos);
	}

	private long permittedUntilNanos(long nowNanos) {
		if (this.runs.hasUnknownRun()) {
			return nowNanos;
		}
		long untilNanos = nowNanos + this.leaseNanos;
		for (HeldRun held : this.runs.list()) {
			Optional<EntrySession> session = this.sessions.find(held.entry());
			if (held.state() == HeldRun.State.STOPPING || session.isEmpty() || session.get().isConfirmationRequired()) {
				return nowNanos;
			}
			untilNanos = Math.min(untilNanos, sessionEndNanos(session.get()));
		}
		for (EntrySession session : this.sessions.all()) {
			if (isConfirmationRecent(session, nowNanos)) {
				untilNanos = Math.min(untilNanos, sessionEndNanos(session));
			}
		}
		return untilNanos;
	}

	private long sessionEndNanos(EntrySession session) {
		return session.confirmedNanos() + this.permissionNanos;
	}

	private static boolean isConfirmationRecent(EntrySession session, long nowNanos) {
		return nowNanos - session.confirmedNanos() <= MAX_CONFIRMATION_AGE_NANOS;
	}

}
