package io.coriandermux.core.lease;

import java.util.ArrayList;
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
 * The sessions of the entries that are linked to a guard.
 */
final class EntrySessions {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/**
	 * An entry without runs is pinged in each second round, each 500 ms, which keeps its
	 * session of 900 ms alive and its link from counting as silent after 700 ms.
	 */
	private static final int IDLE_ROUNDS = 2;

	private final LeaseSettings settings;

	private final EntryChannel entries;

	private final Map<EntryId, EntrySession> sessions = new LinkedHashMap<>();

	private long pingedNanos;

	private long round;

	EntrySessions(LeaseSettings settings, EntryChannel entries) {
		this.settings = settings;
		this.entries = entries;
	}

	int size() {
		return this.sessions.size();
	}

	Optional<EntrySession> of(EntryId entry) {
		return Optional.ofNullable(this.sessions.get(entry));
	}

	Optional<EntrySession> of(EntryId entry, Incarnation incarnation) {
		return of(entry).filter((session) -> session.incarnation().equals(incarnation));
	}

	EntrySession open(EntryId entry, Incarnation incarnation, long nowNanos) {
		EntrySession session = this.sessions.computeIfAbsent(entry, (key) -> new EntrySession(incarnation, nowNanos));
		this.entries.send(entry, new SessionPing(nowNanos));
		return session;
	}

	void close(EntryId entry) {
		this.sessions.remove(entry);
	}

	/**
	 * Asks the entries to confirm their sessions whose interval of pings has passed. A
	 * session of an entry without runs is only to be ready for its next order; most
	 * sessions of a large fleet are.
	 * @param active entries that have runs at the endpoint
	 * @param nowNanos the current time on the monotonic clock
	 * @return whether the entries without runs were asked too
	 */
	boolean pingIfDue(Set<EntryId> active, long nowNanos) {
		long passedNanos = nowNanos - this.pingedNanos;
		if (passedNanos < this.settings.pingMillis() * NANOS_PER_MILLI) {
			return false;
		}
		this.pingedNanos = nowNanos;
		this.round++;
		boolean all = this.round % IDLE_ROUNDS == 0;
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
	 * Requires a confirmation of each session within the time of one ping.
	 * @param nowNanos the current time on the monotonic clock
	 */
	void doubt(long nowNanos) {
		long confirmedNanos = nowNanos - (this.settings.sessionMillis() - this.settings.pingMillis()) * NANOS_PER_MILLI;
		this.sessions.values().forEach((session) -> session.doubt(confirmedNanos));
		pingAll(nowNanos);
	}

	/**
	 * Ends the sessions that were not confirmed in time.
	 * @param nowNanos the current time on the monotonic clock
	 * @return the entries whose sessions have ended just now
	 */
	List<EntryId> expire(long nowNanos) {
		long limit = this.settings.sessionMillis() * NANOS_PER_MILLI;
		List<EntryId> expired = new ArrayList<>();
		this.sessions.forEach((entry, session) -> {
			if (!session.expired() && nowNanos - session.confirmedNanos() > limit) {
				session.expire();
				expired.add(entry);
			}
		});
		return expired;
	}

	/**
	 * Marks the load of the endpoint as changed for all entries.
	 */
	void changed() {
		this.sessions.values().forEach((session) -> session.informed(false));
	}

	void forEach(BiConsumer<EntryId, EntrySession> action) {
		this.sessions.forEach(action);
	}

}
