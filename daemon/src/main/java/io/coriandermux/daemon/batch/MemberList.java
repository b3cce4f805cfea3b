package io.coriandermux.daemon.batch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import io.coriandermux.daemon.log.EventLog;
import io.coriandermux.daemon.log.LogEvent;
import io.coriandermux.daemon.run.MalformedValueException;
import io.coriandermux.store.KvEntry;
import io.coriandermux.store.KvSnapshot;
import io.coriandermux.wire.PeerName;

/**
 * Reads the announcements. An announcement that has not changed is not read again: after
 * a start of all processes each of them changes the list, and reading all of them each
 * time would take time in the square of their number. Used by the thread of the watch
 * only.
 */
final class MemberList {

	/** Announcements by key; empty for one that cannot be read. */
	private Map<String, Announced> known = Map.of();

	/**
	 * Reads the announcements.
	 * @param snapshot the announcements in the store
	 * @param log receives those that cannot be read
	 * @return the processes
	 */
	Map<PeerName, Member> read(KvSnapshot snapshot, EventLog log) {
		Map<String, Announced> announced = new LinkedHashMap<>();
		Map<PeerName, Member> members = new LinkedHashMap<>();
		for (KvEntry entry : snapshot.entries()) {
			Announced former = this.known.get(entry.key());
			Announced now = (former != null && former.revision() == entry.revision()) ? former : read(entry, log);
			announced.put(entry.key(), now);
			now.member().ifPresent((member) -> members.put(member.name(), member));
		}
		this.known = announced;
		return members;
	}

	private static Announced read(KvEntry entry, EventLog log) {
		try {
			return new Announced(entry.revision(), Optional.of(MemberValues.read(entry)));
		}
		catch (MalformedValueException ex) {
			log.record(LogEvent.VALUE_MALFORMED, entry.key(), ex.getMessage());
			return new Announced(entry.revision(), Optional.empty());
		}
	}

	/**
	 * An announcement.
	 *
	 * @param revision revision at which it was read
	 * @param member the process, empty if the announcement cannot be read
	 */
	private record Announced(long revision, Optional<Member> member) {

	}

}
