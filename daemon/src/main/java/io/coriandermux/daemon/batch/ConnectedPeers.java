package io.coriandermux.daemon.batch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import io.coriandermux.core.message.Message;
import io.coriandermux.wire.PeerIdentity;
import io.coriandermux.wire.PeerName;
import io.coriandermux.wire.PeerRole;

/**
 * The peers whose link is established, as far as the decisions know. The link to a
 * restarted peer is established before the decision thread is notified. What was decided
 * for the previous incarnation must not reach the new one: a guard would start a run that
 * its entry considers ended with the previous incarnation. Used by the decision thread
 * only.
 */
final class ConnectedPeers {

	private final BiConsumer<PeerIdentity, Message> links;

	private final Map<PeerName, PeerIdentity> peers = new LinkedHashMap<>();

	/**
	 * Creates an instance without connected peers.
	 * @param links sends a message to an incarnation of a peer, if that incarnation is
	 * connected
	 */
	ConnectedPeers(BiConsumer<PeerIdentity, Message> links) {
		this.links = links;
	}

	void onConnected(PeerIdentity peer) {
		this.peers.put(peer.name(), peer);
	}

	void onLost(PeerIdentity peer) {
		this.peers.remove(peer.name(), peer);
	}

	boolean contains(PeerName peer) {
		return this.peers.containsKey(peer);
	}

	List<PeerName> entries() {
		return this.peers.keySet().stream().filter((peer) -> peer.role() == PeerRole.ENTRY).toList();
	}

	/**
	 * Sends a message to the incarnation of a peer that the decisions know. It is dropped
	 * if there is none or its link is down.
	 * @param peer the receiver
	 * @param message the message
	 */
	void send(PeerName peer, Message message) {
		PeerIdentity known = this.peers.get(peer);
		if (known != null) {
			this.links.accept(known, message);
		}
	}

}
