package io.coriandermux.daemon.batch;

import java.util.LinkedHashMap;
import java.util.Map;

import io.coriandermux.daemon.log.EventLog;
import io.coriandermux.daemon.run.ProcessMetrics;
import io.coriandermux.daemon.run.StoreValueReader;
import io.coriandermux.store.KvSnapshot;
import io.coriandermux.wire.PeerName;

/**
 * Reads the announcements of all processes.
 */
final class AnnouncementReader {

	private final StoreValueReader<Member> reader;

	AnnouncementReader(EventLog log, ProcessMetrics metrics) {
		this.reader = new StoreValueReader<>(AnnouncementFormat::readMember, log, metrics);
	}

	/**
	 * Parses the announcements that have changed since the previous call.
	 * @param snapshot the announcements in the store
	 * @return all processes with a valid announcement
	 */
	Map<PeerName, Member> read(KvSnapshot snapshot) {
		Map<PeerName, Member> members = new LinkedHashMap<>();
		this.reader.read(snapshot).forEach((member) -> members.put(member.name(), member));
		return members;
	}

}
