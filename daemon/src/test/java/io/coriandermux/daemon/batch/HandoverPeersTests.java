package io.coriandermux.daemon.batch;

import java.util.ArrayList;
import java.util.List;

import io.coriandermux.core.id.Incarnation;
import io.coriandermux.wire.PeerAddress;
import io.coriandermux.wire.PeerIdentity;
import io.coriandermux.wire.PeerName;
import io.coriandermux.wire.PeerRole;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against messages that an entry of the previous version does not know: it would
 * close the link during a rolling restart.
 */
class HandoverPeersTests {

	private static final PeerName ENTRY = new PeerName(PeerRole.ENTRY, "e2");

	private static final PeerIdentity PREVIOUS = new PeerIdentity(ENTRY, new Incarnation(5));

	private static final PeerIdentity NEXT = new PeerIdentity(ENTRY, new Incarnation(6));

	private final List<PeerIdentity> used = new ArrayList<>();

	private final HandoverPeers peers = new HandoverPeers(this.used::add);

	@Example
	void doesNotUseAnEntryOfThePreviousVersion() {
		this.peers.onMembers(List.of(member(PREVIOUS, 1)));
		this.peers.onConnected(PREVIOUS);
		assertThat(this.used).isEmpty();
	}

	@Example
	void usesAnEntryOnEachLinkOnceItsNextIncarnationHasAnnouncedTheProtocol() {
		this.peers.onMembers(List.of(member(PREVIOUS, 1)));
		this.peers.onConnected(PREVIOUS);
		this.peers.onLost(PREVIOUS);
		this.peers.onConnected(NEXT);
		assertThat(this.used).isEmpty();
		this.peers.onMembers(List.of(member(NEXT, 2)));
		assertThat(this.used).containsExactly(NEXT);
		this.peers.onConnected(NEXT);
		assertThat(this.used).containsExactly(NEXT, NEXT);
	}

	@Example
	void usesAnEntryThatHasSentAMessageOfTheProtocol() {
		this.peers.onConnected(NEXT);
		this.peers.onMessage(NEXT);
		this.peers.onMessage(NEXT);
		assertThat(this.used).containsExactly(NEXT);
	}

	@Example
	void keepsAConnectedEntryWhoseAnnouncementHasExpired() {
		this.peers.onMembers(List.of(member(NEXT, 2)));
		this.peers.onConnected(NEXT);
		this.peers.onMembers(List.of());
		this.peers.onConnected(NEXT);
		assertThat(this.used).containsExactly(NEXT, NEXT);
	}

	private static Member member(PeerIdentity peer, int protocol) {
		return new Member(peer.name(), peer.incarnation(), new PeerAddress("127.0.0.1", 1), protocol);
	}

}
