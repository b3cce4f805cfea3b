package io.coriandermux.core.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.coriandermux.core.home.HomeMember;
import io.coriandermux.core.home.TimingLimits;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.member.EntryInfo;
import io.coriandermux.core.message.Heartbeat;
import io.coriandermux.core.message.HomesPull;
import io.coriandermux.core.message.HomesPush;
import io.coriandermux.core.message.Leaving;

/**
 * Registry of the links to other entries. Determines which entries are dead and exchanges
 * the home table with the others.
 */
final class PeerRegistry {

	/** How long an entry may be missing from the list before it is declared dead. */
	private static final long ABSENCE_TIMEOUT_MILLIS = 2_000;

	private final EntryContext context;

	private final HomeMember self;

	private final Map<EntryId, Incarnation> linkedPeers = new LinkedHashMap<>();

	private final Map<EntryId, Revision> homeRevisions = new LinkedHashMap<>();

	private final Set<HomeMember> leavingPeers = new LinkedHashSet<>();

	private final Map<EntryId, Long> acknowledgedNanos = new LinkedHashMap<>();

	private final Set<HomeMember> lostPeers = new LinkedHashSet<>();

	private final Set<HomeMember> listedEntries = new LinkedHashSet<>();

	private final Map<HomeMember, Long> deadAfterNanos = new LinkedHashMap<>();

	private boolean listRead;

	PeerRegistry(EntryContext context) {
		this.context = context;
		this.self = new HomeMember(context.settings().self().entry(), context.settings().self().incarnation());
	}

	HomeMember self() {
		return this.self;
	}

	// Returns the previous incarnation of the peer if the new link replaces it. The
	// previous incarnation counts as lost.
	Optional<HomeMember> onConnected(EntryInfo peer) {
		Incarnation previous = this.linkedPeers.put(peer.entry(), peer.incarnation());
		this.homeRevisions.remove(peer.entry());
		this.acknowledgedNanos.remove(peer.entry());
		this.lostPeers.remove(new HomeMember(peer.entry(), peer.incarnation()));
		if (previous == null || previous.equals(peer.incarnation())) {
			return Optional.empty();
		}
		HomeMember restarted = new HomeMember(peer.entry(), previous);
		this.lostPeers.add(restarted);
		return Optional.of(restarted);
	}

	void onLost(HomeMember peer) {
		this.linkedPeers.remove(peer.entry(), peer.incarnation());
		this.lostPeers.add(peer);
	}

	void onListed(List<EntryInfo> entries) {
		this.listRead = true;
		this.listedEntries.clear();
		entries.forEach((info) -> this.listedEntries.add(new HomeMember(info.entry(), info.incarnation())));
		// An announcement ends with its lease, and an entry that is neither linked nor
		// listed is dead, so lost entries that are no longer listed can be dropped.
		this.lostPeers.retainAll(this.listedEntries);
		this.leavingPeers.removeIf((peer) -> !this.listedEntries.contains(peer) && !isLinked(peer));
		this.deadAfterNanos.keySet().removeAll(this.listedEntries);
	}

	void onLeaving(HomeMember peer) {
		this.leavingPeers.add(peer);
	}

	boolean isLinked(HomeMember peer) {
		return peer.incarnation().equals(this.linkedPeers.get(peer.entry()));
	}

	boolean isDead(HomeMember member) {
		if (member.equals(this.self) || isLinked(member)) {
			return false;
		}
		return this.lostPeers.contains(member) || member.entry().equals(this.self.entry()) || isAbsent(member);
	}

	// A new entry may be in the home table before its announcement is read, so an entry
	// counts as absent only after a timeout.
	private boolean isAbsent(HomeMember member) {
		if (!this.listRead || this.listedEntries.contains(member)) {
			this.deadAfterNanos.remove(member);
			return false;
		}
		long until = this.deadAfterNanos.computeIfAbsent(member,
				(missing) -> this.context.nanosAfter(ABSENCE_TIMEOUT_MILLIS));
		return this.context.now().nanos() >= until;
	}

	// Returns the live entries in the order of their ids.
	List<HomeMember> liveEntries() {
		List<HomeMember> live = linkedPeers();
		live.add(this.self);
		live.sort(Comparator.comparing(HomeMember::entry));
		return live;
	}

	// Returns the entries that can take partitions, in the order of their ids. Entries
	// that shut down are left out, since they would only hand the partitions on.
	List<HomeMember> moveTargets(boolean selfIncluded) {
		List<HomeMember> targets = liveEntries();
		targets.removeAll(this.leavingPeers);
		if (!selfIncluded) {
			targets.remove(this.self);
		}
		return targets;
	}

	private List<HomeMember> linkedPeers() {
		List<HomeMember> peers = new ArrayList<>();
		this.linkedPeers.forEach((entry, incarnation) -> peers.add(new HomeMember(entry, incarnation)));
		return peers;
	}

	// Whether every listed entry has recently acknowledged a heartbeat and has no newer
	// home table.
	boolean isHomeTableConfirmed() {
		return this.listRead && this.listedEntries.stream()
			.filter((member) -> !member.equals(this.self))
			.allMatch(this::hasConfirmedRecently);
	}

	private boolean hasConfirmedRecently(HomeMember peer) {
		Long lastNanos = this.acknowledgedNanos.get(peer.entry());
		return isLinked(peer) && lastNanos != null
				&& this.context.isConfirmationValid(lastNanos, TimingLimits.MAX_CONFIRMATION_AGE_NANOS)
				&& !hasNewerHomes(peer.entry());
	}

	boolean hasNewerHomes(EntryId peer) {
		return this.homeRevisions.getOrDefault(peer, new Revision(0)).compareTo(revision()) > 0;
	}

	void onHeartbeat(EntryId peer, Heartbeat heartbeat) {
		this.homeRevisions.put(peer, heartbeat.homesRevision());
		// The echoed clock reading is a lower bound of the time at which the peer
		// answered.
		if (heartbeat.isEchoOf(this.self.incarnation())) {
			this.acknowledgedNanos.merge(peer, heartbeat.echoNanos(), Math::max);
		}
		if (hasNewerHomes(peer)) {
			this.context.send(peer, new HomesPull(revision()));
		}
	}

	void onHomesPull(EntryId peer, HomesPull pull) {
		if (revision().compareTo(pull.currentRevision()) > 0) {
			this.context.send(peer, new HomesPush(this.context.homes().table()));
		}
	}

	// Sends a table that this entry wrote at once, so that the peers have it up to one
	// heartbeat interval earlier.
	void pushHomes() {
		linkedPeers().forEach((peer) -> this.context.send(peer.entry(), new HomesPush(this.context.homes().table())));
	}

	void sendLeaving() {
		linkedPeers().forEach((peer) -> this.context.send(peer.entry(), new Leaving(0)));
	}

	private Revision revision() {
		return this.context.homes().table().revision();
	}

	int linkCount() {
		return this.linkedPeers.size();
	}

}
