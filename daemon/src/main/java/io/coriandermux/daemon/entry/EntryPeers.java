package io.coriandermux.daemon.entry;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.coriandermux.core.entry.EntriesListed;
import io.coriandermux.core.entry.GuardConnected;
import io.coriandermux.core.entry.GuardLost;
import io.coriandermux.core.entry.GuardMessage;
import io.coriandermux.core.entry.GuardsListed;
import io.coriandermux.core.entry.PeerConnected;
import io.coriandermux.core.entry.PeerLost;
import io.coriandermux.core.entry.PeerMessage;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.member.EntryInfo;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.message.ConfigPull;
import io.coriandermux.core.message.ConfigPush;
import io.coriandermux.core.message.Heartbeat;
import io.coriandermux.core.message.Message;
import io.coriandermux.daemon.log.LogEvent;
import io.coriandermux.daemon.run.ProcessContext;
import io.coriandermux.wire.LinkEventLoop;
import io.coriandermux.wire.PeerAddress;
import io.coriandermux.wire.PeerIdentity;
import io.coriandermux.wire.PeerName;
import io.coriandermux.wire.PeerRole;

/**
 * Opens links to announced processes and translates link events into events of the state
 * machine. Used by the decision thread only.
 */
final class EntryPeers {

	private final ProcessContext context;

	private final LinkEventLoop links;

	private final EntryStore store;

	private final ActiveConfig config;

	private final EntryNodeRunner nodeRunner;

	private final int maxGuards;

	private final PeerDirectory<GuardInfo> guards = new PeerDirectory<>();

	private final PeerDirectory<EntryInfo> entries = new PeerDirectory<>();

	private final Set<PeerName> linkTargets = new LinkedHashSet<>();

	EntryPeers(ProcessContext context, LinkEventLoop links, EntryStore store, ActiveConfig config,
			EntryNodeRunner nodeRunner, int maxGuards) {
		this.context = context;
		this.links = links;
		this.store = store;
		this.config = config;
		this.nodeRunner = nodeRunner;
		this.maxGuards = maxGuards;
	}

	int linkCount() {
		return this.guards.linkCount() + this.entries.linkCount();
	}

	void onGuardsListed(List<GuardInfo> infos, long request) {
		Map<PeerName, PeerDirectory.Announcement<GuardInfo>> announcements = new LinkedHashMap<>();
		for (GuardInfo info : infos) {
			announcements.put(new PeerName(PeerRole.GUARD, info.guard().value()), new PeerDirectory.Announcement<>(info,
					info.incarnation(), new PeerAddress(info.host(), info.port())));
		}
		List<PeerIdentity> ready = this.guards.replaceAnnouncements(announcements);
		this.nodeRunner.handle(new GuardsListed(infos, request));
		announcements.forEach((name, announcement) -> {
			if (this.linkTargets.contains(name) || this.linkTargets.size() < this.maxGuards) {
				connect(name, announcement.address());
			}
		});
		ready.forEach(this::onConnected);
		disconnectUnreachable(this.guards, PeerRole.GUARD);
	}

	void onEntriesListed(List<EntryInfo> infos) {
		Map<PeerName, PeerDirectory.Announcement<EntryInfo>> announcements = new LinkedHashMap<>();
		for (EntryInfo info : infos) {
			announcements.put(new PeerName(PeerRole.ENTRY, info.entry().value()), new PeerDirectory.Announcement<>(info,
					info.incarnation(), new PeerAddress(info.host(), info.port())));
		}
		List<PeerIdentity> ready = this.entries.replaceAnnouncements(announcements);
		this.nodeRunner.handle(new EntriesListed(infos));
		announcements.forEach((name, announcement) -> {
			// Of two entries, the one with the lower id opens the link, so that there is
			// only one link between them.
			if (this.context.settings().id().compareTo(name.id()) < 0) {
				connect(name, announcement.address());
			}
		});
		ready.forEach(this::onConnected);
		disconnectUnreachable(this.entries, PeerRole.ENTRY);
	}

	void onConnected(PeerIdentity peer) {
		this.context.log()
			.record(LogEvent.LINK_UP, peer.name().toString(), "incarnation " + peer.incarnation().value());
		List<Message> held = directory(peer).releaseHeld(peer);
		if (peer.name().role() == PeerRole.GUARD) {
			Optional<GuardInfo> announcement = this.guards.onConnected(peer);
			announcement.ifPresent((guard) -> this.nodeRunner.handle(new GuardConnected(guard)));
			if (announcement.isEmpty()) {
				this.store.listGuards(0);
			}
		}
		else {
			this.entries.onConnected(peer).ifPresent((entry) -> this.nodeRunner.handle(new PeerConnected(entry)));
		}
		held.forEach((message) -> onMessage(peer, message));
	}

	void onLost(PeerIdentity peer) {
		this.context.log()
			.record(LogEvent.PEER_LOST, peer.name().toString(), "incarnation " + peer.incarnation().value());
		if (!directory(peer).onLost(peer)) {
			return;
		}
		if (peer.name().role() == PeerRole.GUARD) {
			this.nodeRunner.handle(new GuardLost(new GuardId(peer.name().id()), peer.incarnation()));
			disconnectUnreachable(this.guards, PeerRole.GUARD);
		}
		else {
			this.nodeRunner.handle(new PeerLost(new EntryId(peer.name().id()), peer.incarnation()));
			disconnectUnreachable(this.entries, PeerRole.ENTRY);
		}
	}

	void onMessage(PeerIdentity peer, Message message) {
		if (directory(peer).holdBack(peer, message)) {
			return;
		}
		if (peer.name().role() == PeerRole.GUARD) {
			this.nodeRunner.handle(new GuardMessage(new GuardId(peer.name().id()), peer.incarnation(), message));
		}
		else if (message instanceof ConfigPull) {
			this.links.send(peer.name(), this.config.current());
		}
		else if (message instanceof ConfigPush push) {
			this.store.execute(() -> this.config.offer(push));
		}
		else {
			this.nodeRunner.handle(new PeerMessage(new EntryId(peer.name().id()), peer.incarnation(), message));
		}
		if (message instanceof Heartbeat heartbeat) {
			onHeartbeat(peer, heartbeat);
		}
	}

	private void onHeartbeat(PeerIdentity peer, Heartbeat heartbeat) {
		this.links.acknowledge(peer, heartbeat.clockNanos());
		if (peer.name().role() == PeerRole.ENTRY
				&& heartbeat.configRevision().compareTo(this.config.current().revision()) > 0) {
			this.links.send(peer.name(), new ConfigPull(this.config.current().revision()));
		}
	}

	private void connect(PeerName name, PeerAddress address) {
		this.linkTargets.add(name);
		this.links.connect(name, address);
	}

	private void disconnectUnreachable(PeerDirectory<?> directory, PeerRole role) {
		Set<PeerName> ofRole = new LinkedHashSet<>(this.linkTargets);
		ofRole.removeIf((name) -> name.role() != role);
		for (PeerName name : directory.findUnreachable(ofRole)) {
			this.linkTargets.remove(name);
			this.links.disconnect(name);
		}
	}

	private PeerDirectory<?> directory(PeerIdentity peer) {
		return (peer.name().role() == PeerRole.GUARD) ? this.guards : this.entries;
	}

}
