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
 * Reads the announcements of all processes and caches the results. When all processes
 * start at the same time, each of them adds an announcement; without the cache, the total
 * parsing time would grow with the square of their number. Used by the watch thread only.
 */
final class AnnouncementReader {

	/** Results of the previous call by key. */
	private Map<String, ParsedAnnouncement> parsed = Map.of();

	/**
	 * Parses the announcements that have changed since the previous call.
	 * @param snapshot the announcements in the store
	 * @param log receives an event for each malformed announcement
	 * @return all processes with a valid announcement
	 */
	Map<PeerName, Member> read(KvSnapshot snapshot, EventLog log) {
		Map<String, ParsedAnnouncement> announcements = new LinkedHashMap<>();
		Map<PeerName, Member> members = new LinkedHashMap<>();
		for (KvEntry entry : snapshot.entries()) {
			ParsedAnnouncement previous = this.parsed.get(entry.key());
			ParsedAnnouncement current = (previous != null && previous.revision() == entry.revision()) ? previous
					: parse(entry, log);
			announcements.put(entry.key(), current);
			current.member().ifPresent((member) -> members.put(member.name(), member));
		}
		this.parsed = announcements;
		return members;
	}

	private static ParsedAnnouncement parse(KvEntry entry, EventLog log) {
		try {
			return new ParsedAnnouncement(entry.revision(), Optional.of(AnnouncementFormat.readMember(entry)));
		}
		catch (MalformedValueException ex) {
			log.record(LogEvent.VALUE_MALFORMED, entry.key(), ex.getMessage());
			return new ParsedAnnouncement(entry.revision(), Optional.empty());
		}
	}

	/**
	 * A parsed announcement.
	 *
	 * @param revision store revision of the announcement
	 * @param member the process, empty if the announcement is malformed
	 */
	private record ParsedAnnouncement(long revision, Optional<Member> member) {

	}

}
