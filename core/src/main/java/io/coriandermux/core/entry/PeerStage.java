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
import io.coriandermux.core.home.HomeTimes;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.member.EntryInfo;
import io.coriandermux.core.message.Heartbeat;
import io.coriandermux.core.message.HomesPull;
import io.coriandermux.core.message.HomesPush;
import io.coriandermux.core.message.Leaving;

/**
 * Links to other entries, which of them are dead, and the exchange of the home table.
 */
final class PeerStage {

	/** How long an entry that is not listed is not considered dead. */
	private static final long ABSENT_MILLIS = 2_000;

	private final EntryContext context;

	private final HomeMember self;

	private final Map<EntryId, Incarnation> linked = new LinkedHashMap<>();

	private final Map<EntryId, Revision> revisions = new LinkedHashMap<>();

	private final Set<HomeMember> leaving = new LinkedHashSet<>();

	private final Map<EntryId, Long> heardNanos = new LinkedHashMap<>();

	private final Set<HomeMember> lost = new LinkedHashSet<>();

	private final Set<HomeMember> listed = new LinkedHashSet<>();

	private final Map<HomeMember, Long> absentUntil = new LinkedHashMap<>();

	private boolean listRead;

	PeerStage(EntryContext context) {
		this.context = context;
		this.self = new HomeMember(context.settings().self().entry(), context.settings().self().incarnation());
	}

	HomeMember self() {
		return this.self;
	}

	// Returns the former incarnation of the peer if it is lost by that.
	Optional<HomeMember> connected(EntryInfo peer) {
		Incarnation former = this.linked.put(peer.entry(), peer.incarnation());
		this.revisions.remove(peer.entry());
		this.heardNanos.remove(peer.entry());
		this.lost.remove(new HomeMember(peer.entry(), peer.incarnation()));
		if (former == null || former.equals(peer.incarnation())) {
			return Optional.empty();
		}
		HomeMember restarted = new HomeMember(peer.entry(), former);
		this.lost.add(restarted);
		return Optional.of(restarted);
	}

	void lost(HomeMember peer) {
		this.linked.remove(peer.entry(), peer.incarnation());
		this.lost.add(peer);
	}

	void listed(List<EntryInfo> entries) {
		this.listRead = true;
		this.listed.clear();
		entries.forEach((info) -> this.listed.add(new HomeMember(info.entry(), info.incarnation())));
		// Announcements end with their leases, so a lost entry that left the list is not
		// needed any more: an entry that is neither linked nor listed is dead.
		this.lost.retainAll(this.listed);
		this.leaving.removeIf((peer) -> !this.listed.contains(peer) && !isLinked(peer));
		this.absentUntil.keySet().removeAll(this.listed);
	}

	void leaving(HomeMember peer) {
		this.leaving.add(peer);
	}

	boolean isLinked(HomeMember peer) {
		return peer.incarnation().equals(this.linked.get(peer.entry()));
	}

	boolean isDead(HomeMember member) {
		if (member.equals(this.self) || isLinked(member)) {
			return false;
		}
		return this.lost.contains(member) || member.entry().equals(this.self.entry()) || isAbsent(member);
	}

	// An entry that is new may be in the home table before its announcement is seen.
	private boolean isAbsent(HomeMember member) {
		if (!this.listRead || this.listed.contains(member)) {
			this.absentUntil.remove(member);
			return false;
		}
		long until = this.absentUntil.computeIfAbsent(member, (missing) -> this.context.nanosIn(ABSENT_MILLIS));
		return this.context.now().nanos() >= until;
	}

	// Live entries in the order of their ids.
	List<HomeMember> live() {
		List<HomeMember> live = linkedPeers();
		live.add(this.self);
		live.sort(Comparator.comparing(HomeMember::entry));
		return live;
	}

	// Entries that can take partitions, in the order of their ids. An entry that shuts
	// down
	// would only hand them on.
	List<HomeMember> targets(boolean selfIncluded) {
		List<HomeMember> targets = live();
		targets.removeAll(this.leaving);
		if (!selfIncluded) {
			targets.remove(this.self);
		}
		return targets;
	}

	private List<HomeMember> linkedPeers() {
		List<HomeMember> peers = new ArrayList<>();
		this.linked.forEach((entry, incarnation) -> peers.add(new HomeMember(entry, incarnation)));
		return peers;
	}

	// Whether every listed entry has shown lately that it knows of no newer home table.
	boolean isConfirmed() {
		return this.listRead
				&& this.listed.stream().filter((member) -> !member.equals(this.self)).allMatch(this::agrees);
	}

	private boolean agrees(HomeMember peer) {
		Long heard = this.heardNanos.get(peer.entry());
		return isLinked(peer) && heard != null && this.context.now().nanos() - heard <= HomeTimes.CLAIM_NANOS
				&& !hasNewerHomes(peer.entry());
	}

	boolean hasNewerHomes(EntryId peer) {
		return this.revisions.getOrDefault(peer, new Revision(0)).compareTo(revision()) > 0;
	}

	void heartbeat(EntryId peer, Heartbeat heartbeat) {
		this.revisions.put(peer, heartbeat.homes());
		// The time at which the peer answers is bounded below by the reading that it
		// echoes.
		if (heartbeat.isEchoOf(this.self.incarnation())) {
			this.heardNanos.merge(peer, heartbeat.echoNanos(), Math::max);
		}
		if (hasNewerHomes(peer)) {
			this.context.send(peer, new HomesPull(revision()));
		}
	}

	void pulled(EntryId peer, HomesPull pull) {
		if (revision().compareTo(pull.have()) > 0) {
			this.context.send(peer, new HomesPush(this.context.homes().table()));
		}
	}

	// Saves the peers up to one heartbeat interval after a change that this entry made.
	void push() {
		linkedPeers().forEach((peer) -> this.context.send(peer.entry(), new HomesPush(this.context.homes().table())));
	}

	void tellLeaving() {
		linkedPeers().forEach((peer) -> this.context.send(peer.entry(), new Leaving(0)));
	}

	private Revision revision() {
		return this.context.homes().table().revision();
	}

	int links() {
		return this.linked.size();
	}

}
