package io.coriandermux.core.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.message.SessionPing;

/**
 * Sessions of the entries that are connected to a guard.
 */
final class EntrySessions {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/**
	 * Entries without runs are pinged in every second round, every 500 ms. This is
	 * sufficient to renew their sessions, which expire after 900 ms, and to keep their
	 * links from being considered silent after 700 ms.
	 */
	private static final int IDLE_PING_ROUNDS = 2;

	private final LeaseSettings settings;

	private final EntryChannel entries;

	private final Map<EntryId, EntrySession> sessions = new LinkedHashMap<>();

	private long lastPingNanos;

	private long pingRound;

	EntrySessions(LeaseSettings settings, EntryChannel entries) {
		this.settings = settings;
		this.entries = entries;
	}

	int size() {
		return this.sessions.size();
	}

	Collection<EntrySession> all() {
		return this.sessions.values();
	}

	Optional<EntrySession> find(EntryId entry) {
		return Optional.ofNullable(this.sessions.get(entry));
	}

	Optional<EntrySession> find(EntryId entry, Incarnation incarnation) {
		return find(entry).filter((session) -> session.incarnation().equals(incarnation));
	}

	EntrySession open(EntryId entry, Incarnation incarnation, long nowNanos) {
		long expiredNanos = nowNanos - this.settings.sessionMillis() * NANOS_PER_MILLI;
		EntrySession session = this.sessions.computeIfAbsent(entry,
				(key) -> new EntrySession(incarnation, expiredNanos));
		this.entries.send(entry, new SessionPing(nowNanos));
		return session;
	}

	void close(EntryId entry) {
		this.sessions.remove(entry);
	}

	/**
	 * Pings the entries if the ping interval has passed. Entries without runs, the
	 * majority in a large fleet, are pinged less often, because their sessions are needed
	 * only for their next order.
	 * @param active entries with runs at the endpoint
	 * @param nowNanos the current time on the monotonic clock
	 * @return whether the entries without runs were pinged, too
	 */
	boolean pingIfDue(Set<EntryId> active, long nowNanos) {
		long elapsedNanos = nowNanos - this.lastPingNanos;
		if (elapsedNanos < this.settings.pingMillis() * NANOS_PER_MILLI) {
			return false;
		}
		this.lastPingNanos = nowNanos;
		this.pingRound++;
		boolean all = this.pingRound % IDLE_PING_ROUNDS == 0;
		this.sessions.keySet()
			.stream()
			.filter((entry) -> all || active.contains(entry))
			.forEach((entry) -> this.entries.send(entry, new SessionPing(nowNanos)));
		return all;
	}

	private void pingAll(long nowNanos) {
		this.sessions.keySet().forEach((entry) -> this.entries.send(entry, new SessionPing(nowNanos)));
	}

	/**
	 * Makes each session expire after one ping interval unless it is confirmed.
	 * @param nowNanos the current time on the monotonic clock
	 */
	void requireConfirmations(long nowNanos) {
		long confirmedNanos = nowNanos - (this.settings.sessionMillis() - this.settings.pingMillis()) * NANOS_PER_MILLI;
		this.sessions.values().forEach((session) -> session.requireConfirmation(confirmedNanos, nowNanos));
		// The clock may not have advanced since the last ping.
		pingAll(nowNanos + 1);
	}

	/**
	 * Expires the sessions that were not confirmed in time.
	 * @param nowNanos the current time on the monotonic clock
	 * @return the entries whose sessions expired in this call
	 */
	List<EntryId> expireUnconfirmed(long nowNanos) {
		long timeoutNanos = this.settings.sessionMillis() * NANOS_PER_MILLI;
		List<EntryId> expired = new ArrayList<>();
		this.sessions.forEach((entry, session) -> {
			if (!session.isExpired() && nowNanos - session.confirmedNanos() > timeoutNanos) {
				session.expire();
				expired.add(entry);
			}
		});
		return expired;
	}

	/**
	 * Marks the load of the endpoint as not yet sent to any entry.
	 */
	void markLoadChanged() {
		this.sessions.values().forEach((session) -> session.setLoadSent(false));
	}

	void forEach(BiConsumer<EntryId, EntrySession> action) {
		this.sessions.forEach(action);
	}

}
