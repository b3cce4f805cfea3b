package io.coriandermux.daemon.batch;

import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.lease.EndpointIncarnation;
import io.coriandermux.core.lease.EndpointReport;
import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.daemon.log.EventLog;
import io.coriandermux.daemon.run.MalformedValueException;
import io.coriandermux.daemon.run.ProcessMetrics;
import io.coriandermux.store.KvEntry;
import io.coriandermux.store.KvSnapshot;
import io.coriandermux.wire.PeerAddress;
import io.coriandermux.wire.PeerName;
import io.coriandermux.wire.PeerRole;
import io.coriandermux.wire.SystemTime;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against an announcement that is read as another process or endpoint than the one
 * written.
 */
class AnnouncementFormatTests {

	private static final Member GUARD = new Member(new PeerName(PeerRole.GUARD, "guard-1"), new Incarnation(7),
			new PeerAddress("10.1.0.14", 7720), 2);

	private static final EndpointReport REPORT = new EndpointReport(new EndpointIncarnation("i-1", 17), 4,
			new PoolName("orders"), Set.of("a", "r1"), new ResourceAmounts(64_000, 1024, 2), false);

	@Example
	void readsWhatWasWritten() throws MalformedValueException {
		KvEntry entry = AnnouncementFormat.write(GUARD, Optional.of(REPORT));
		assertThat(AnnouncementFormat.readMember(entry)).isEqualTo(GUARD);
		assertThat(AnnouncementFormat.readReport(entry.value(), 17)).contains(REPORT);
	}

	@Example
	void readsAnAnnouncementWithoutAnEndpoint() throws MalformedValueException {
		KvEntry entry = AnnouncementFormat.write(GUARD, Optional.empty());
		assertThat(AnnouncementFormat.readMember(entry)).isEqualTo(GUARD);
		assertThat(AnnouncementFormat.readReport(entry.value(), 17)).isEmpty();
	}

	// Guards against messages that a process of the previous version does not know, which
	// would close its link.
	@Example
	void readsAnAnnouncementOfThePreviousVersionAsTheFirstProtocol() throws MalformedValueException {
		KvEntry entry = AnnouncementFormat.write(GUARD, Optional.empty());
		KvEntry previous = new KvEntry(entry.key(), entry.value().replace(",\"protocol\":2", ""), 1);
		assertThat(previous.value()).isNotEqualTo(entry.value());
		assertThat(AnnouncementFormat.readMember(previous).protocol()).isEqualTo(1);
	}

	@Example
	void returnsTheMembersOfValidAnnouncementsAfterEachChange() {
		EventLog log = new EventLog("entry", new SystemTime(Clock.systemUTC()));
		AnnouncementReader reader = new AnnouncementReader(log, new ProcessMetrics());
		String key = AnnouncementFormat.write(GUARD, Optional.empty()).key();
		KvEntry first = new KvEntry(key, AnnouncementFormat.write(GUARD, Optional.empty()).value(), 3);
		KvEntry malformed = new KvEntry(key + "-malformed", "[1]", 4);
		assertThat(reader.read(new KvSnapshot(4, List.of(first, malformed))))
			.containsOnly(Map.entry(GUARD.name(), GUARD));
		Member moved = new Member(GUARD.name(), new Incarnation(8), new PeerAddress("10.1.0.15", 7720), 2);
		KvEntry second = new KvEntry(key, AnnouncementFormat.write(moved, Optional.empty()).value(), 5);
		assertThat(reader.read(new KvSnapshot(5, List.of(second)))).containsOnly(Map.entry(GUARD.name(), moved));
		assertThat(reader.read(new KvSnapshot(6, List.of()))).isEmpty();
	}

	// Guards against a restored report without labels, with which the guard would receive
	// no run that requires one, because another writer has left them out.
	@Example
	void rejectsReportsWhoseLabelsAreMissingOrMistyped() {
		String value = AnnouncementFormat.write(GUARD, Optional.of(REPORT)).value();
		for (String labels : new String[] { "", ",\"labels\":{}", ",\"labels\":\"a\"", ",\"labels\":null" }) {
			String changed = value.replaceFirst(",\"labels\":\\[[^]]*]", labels);
			assertThat(changed).isNotEqualTo(value);
			assertThatExceptionOfType(MalformedValueException.class)
				.isThrownBy(() -> AnnouncementFormat.readReport(changed, 17));
		}
	}

	@Example
	void rejectsMalformedAnnouncements() {
		String key = AnnouncementFormat.write(GUARD, Optional.empty()).key();
		for (String value : new String[] { "", "{}", "{\"address\":1,\"port\":2,\"incarnation\":3}", "[1]" }) {
			assertThatExceptionOfType(MalformedValueException.class)
				.isThrownBy(() -> AnnouncementFormat.readMember(new KvEntry(key, value, 1)));
		}
		assertThatExceptionOfType(MalformedValueException.class)
			.isThrownBy(() -> AnnouncementFormat.readMember(new KvEntry(AnnouncementFormat.PREFIX + "observer/x",
					"{\"address\":\"a\",\"port\":1," + "\"incarnation\":1}", 1)));
	}

}
