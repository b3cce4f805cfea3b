package io.coriandermux.daemon.batch;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

import io.coriandermux.wire.PeerIdentity;
import io.coriandermux.wire.PeerRole;

/**
 * The entries that know the messages with which batches are handed over. During a rolling
 * restart some entries run the previous version, which would close the link on these
 * messages. An entry knows them if its announcement says so, or if it has sent one. Used
 * by the decision thread only.
 */
final class HandoverPeers {

	/** The first protocol with these messages. */
	private static final int MIN_PROTOCOL = 2;

	private final Consumer<PeerIdentity> onUsable;

	private final Set<PeerIdentity> connected = new LinkedHashSet<>();

	private final Set<PeerIdentity> usable = new LinkedHashSet<>();

	/**
	 * Creates an instance without entries.
	 * @param onUsable called for each connection to an entry that knows the messages
	 */
	HandoverPeers(Consumer<PeerIdentity> onUsable) {
		this.onUsable = onUsable;
	}

	void onConnected(PeerIdentity peer) {
		this.connected.add(peer);
		if (this.usable.contains(peer)) {
			this.onUsable.accept(peer);
		}
	}

	void onLost(PeerIdentity peer) {
		this.connected.remove(peer);
	}

	/**
	 * Applies the announcements.
	 * @param members the announced processes
	 */
	void onMembers(Collection<Member> members) {
		Set<PeerIdentity> announced = new LinkedHashSet<>();
		members.stream()
			.filter((member) -> member.name().role() == PeerRole.ENTRY && member.protocol() >= MIN_PROTOCOL)
			.forEach((member) -> announced.add(new PeerIdentity(member.name(), member.incarnation())));
		// An announcement may expire while the store is unavailable.
		this.usable.removeIf((peer) -> !announced.contains(peer) && !this.connected.contains(peer));
		announced.forEach(this::add);
	}

	/**
	 * Records that an entry has sent a message of the hand-over.
	 * @param peer the entry
	 */
	void onMessage(PeerIdentity peer) {
		add(peer);
	}

	private void add(PeerIdentity peer) {
		if (this.usable.add(peer) && this.connected.contains(peer)) {
			this.onUsable.accept(peer);
		}
	}

}
