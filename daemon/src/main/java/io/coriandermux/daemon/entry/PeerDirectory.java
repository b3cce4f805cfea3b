package io.coriandermux.daemon.entry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.message.Message;
import io.coriandermux.wire.PeerAddress;
import io.coriandermux.wire.PeerIdentity;
import io.coriandermux.wire.PeerName;

/**
 * Matches links with the announcements of one kind of process. A link to an incarnation
 * that is not announced yet is held back, and its messages are buffered, until the
 * announcement is read. Used by the decision thread only.
 *
 * @param <T> type of the announcements
 */
final class PeerDirectory<T> {

	private static final int MAX_HELD_MESSAGES_PER_LINK = 1024;

	private final Map<PeerName, Announcement<T>> announcements = new LinkedHashMap<>();

	private final Map<PeerName, PeerIdentity> links = new LinkedHashMap<>();

	private final Map<PeerIdentity, List<Message>> heldMessages = new LinkedHashMap<>();

	/**
	 * Replaces the announcements.
	 * @param announcements all announcements
	 * @return peers whose links were held back and that are announced now
	 */
	List<PeerIdentity> replaceAnnouncements(Map<PeerName, Announcement<T>> announcements) {
		this.announcements.clear();
		this.announcements.putAll(announcements);
		List<PeerIdentity> ready = new ArrayList<>();
		for (PeerIdentity peer : this.heldMessages.keySet()) {
			if (announcement(peer).isPresent()) {
				ready.add(peer);
			}
		}
		return ready;
	}

	/**
	 * Adds a link.
	 * @param peer the process at the other end
	 * @return its announcement, or empty if the link is held back
	 */
	Optional<T> onConnected(PeerIdentity peer) {
		this.links.put(peer.name(), peer);
		Optional<T> announcement = announcement(peer);
		if (announcement.isEmpty()) {
			this.heldMessages.put(peer, new ArrayList<>());
		}
		return announcement;
	}

	/**
	 * Removes the link of a process and discards the messages that are held back.
	 * @param peer the process
	 * @return whether the link was not held back, so that its end has to be handled
	 */
	boolean onLost(PeerIdentity peer) {
		this.links.remove(peer.name(), peer);
		return this.heldMessages.remove(peer) == null;
	}

	/**
	 * Buffers a message if its link is held back. Messages above the limit are dropped.
	 * @param peer the sender
	 * @param message the message
	 * @return whether the link is held back
	 */
	boolean holdBack(PeerIdentity peer, Message message) {
		List<Message> messages = this.heldMessages.get(peer);
		if (messages == null) {
			return false;
		}
		if (messages.size() < MAX_HELD_MESSAGES_PER_LINK) {
			messages.add(message);
		}
		return true;
	}

	List<Message> releaseHeld(PeerIdentity peer) {
		return Optional.ofNullable(this.heldMessages.remove(peer)).orElse(List.of());
	}

	Optional<T> announcement(PeerIdentity peer) {
		return Optional.ofNullable(this.announcements.get(peer.name()))
			.filter((announcement) -> announcement.incarnation().equals(peer.incarnation()))
			.map(Announcement::info);
	}

	boolean isLinked(PeerName name) {
		return this.links.containsKey(name);
	}

	int linkCount() {
		return this.links.size();
	}

	boolean isAnnounced(PeerName name) {
		return this.announcements.containsKey(name);
	}

	/**
	 * Returns the processes that are neither announced nor linked.
	 * @param names the processes to check
	 * @return those to stop connecting to
	 */
	Set<PeerName> findUnreachable(Set<PeerName> names) {
		Set<PeerName> unreachable = new LinkedHashSet<>();
		for (PeerName name : names) {
			if (!isAnnounced(name) && !isLinked(name)) {
				unreachable.add(name);
			}
		}
		return unreachable;
	}

	/**
	 * An announcement with the fields that are needed to match and open links.
	 *
	 * @param <T> type of the announcement
	 * @param info the announcement
	 * @param incarnation incarnation of the process
	 * @param address address at which it accepts links
	 */
	record Announcement<T>(T info, Incarnation incarnation, PeerAddress address) {

	}

}
