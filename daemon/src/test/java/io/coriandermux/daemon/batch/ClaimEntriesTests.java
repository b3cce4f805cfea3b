package io.coriandermux.daemon.batch;

import java.util.List;
import java.util.Set;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.wire.PeerAddress;
import io.coriandermux.wire.PeerName;
import io.coriandermux.wire.PeerRole;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a batch that is granted although an entry that may have it was not
 * asked, and against links that entries of the previous version close.
 */
class ClaimEntriesTests {

	private static final PeerName SELF = new PeerName(PeerRole.ENTRY, "e1");

	private static final PeerName OTHER = new PeerName(PeerRole.ENTRY, "e2");

	private static final PeerName OLDER = new PeerName(PeerRole.ENTRY, "e3");

	private final ClaimEntries entries = new ClaimEntries(SELF);

	@Example
	void listsAnEntryOfThePreviousVersionWithoutAskingIt() {
		this.entries.onMembers(List.of(member(SELF, 3), member(OTHER, 3), member(OLDER, 2),
				member(new PeerName(PeerRole.GUARD, "g1"), 3)));
		assertThat(this.entries.listed(List.of())).isEqualTo(Set.of(new EntryId("e2"), new EntryId("e3")));
		assertThat(this.entries.knowsClaims(OTHER)).isTrue();
		assertThat(this.entries.knowsClaims(OLDER)).isFalse();
	}

	@Example
	void keepsAConnectedEntryWhoseAnnouncementHasExpired() {
		this.entries.onMembers(List.of(member(SELF, 3), member(OTHER, 3)));
		this.entries.onMembers(List.of(member(SELF, 3)));
		assertThat(this.entries.listed(List.of(OTHER))).isEqualTo(Set.of(new EntryId("e2")));
		assertThat(this.entries.knowsClaims(OTHER)).isTrue();
		assertThat(this.entries.listed(List.of())).isEmpty();
	}

	private static Member member(PeerName name, int protocol) {
		return new Member(name, new Incarnation(1), new PeerAddress("127.0.0.1", 1), protocol);
	}

}
