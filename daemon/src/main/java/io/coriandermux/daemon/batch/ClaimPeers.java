package io.coriandermux.daemon.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.message.Message;
import io.coriandermux.wire.PeerIdentity;
import io.coriandermux.wire.PeerName;
import io.coriandermux.wire.PeerRole;

/**
 * The guards that know the messages with which batches are claimed. During a rolling
 * restart some guards run the previous version, which would close the link on these
 * messages. All entries have to list the same guards, because they select the guards of a
 * batch from the list, so a guard stays listed while it restarts. Used by the decision
 * thread only.
 */
final class ClaimPeers {

	/** The first protocol with these messages. */
	private static final int MIN_PROTOCOL = 3;

	/**
	 * Time for which the messages to a new incarnation wait for its announcement. A guard
	 * announces itself when it starts, so a later announcement means that the store is
	 * unavailable. The guard is then taken to know the messages that its previous
	 * incarnation knew.
	 */
	private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final BiConsumer<PeerName, Message> links;

	private final BiConsumer<PeerName, Message> onDropped;

	private final Consumer<Set<GuardId>> onListed;

	/**
	 * Last announcement of each guard. It is kept when the guard is neither announced nor
	 * connected, because the link may return before the announcement does.
	 */
	private final Map<PeerName, Member> announced = new LinkedHashMap<>();

	private final Map<PeerName, Connection> connections = new LinkedHashMap<>();

	/** Guards whose announcement is in the store. */
	private Set<PeerName> stored = Set.of();

	private Set<GuardId> listed = Set.of();

	/**
	 * Creates an instance without guards.
	 * @param links sends a message to a connected guard
	 * @param onDropped called for a message that a connected guard does not know
	 * @param onListed receives the guards that know the messages after each change
	 */
	ClaimPeers(BiConsumer<PeerName, Message> links, BiConsumer<PeerName, Message> onDropped,
			Consumer<Set<GuardId>> onListed) {
		this.links = links;
		this.onDropped = onDropped;
		this.onListed = onListed;
	}

	/**
	 * Applies the announcements.
	 * @param members the announced processes
	 */
	void onMembers(Collection<Member> members) {
		Map<PeerName, Member> current = new LinkedHashMap<>();
		members.stream()
			.filter((member) -> member.name().role() == PeerRole.GUARD)
			.forEach((member) -> current.put(member.name(), member));
		this.stored = Set.copyOf(current.keySet());
		this.announced.putAll(current);
		this.connections.values().forEach(this::resolveFromAnnouncement);
		update();
	}

	/**
	 * Records a new link.
	 * @param peer the guard
	 * @param nowNanos the current time on the monotonic clock
	 */
	void onConnected(PeerIdentity peer, long nowNanos) {
		Connection connection = new Connection(peer, nowNanos);
		this.connections.put(peer.name(), connection);
		resolveFromAnnouncement(connection);
		update();
	}

	/**
	 * Records the loss of a link.
	 * @param peer the guard
	 */
	void onLost(PeerIdentity peer) {
		Connection connection = this.connections.get(peer.name());
		if (connection != null && connection.peer.equals(peer)) {
			this.connections.remove(peer.name());
			update();
		}
	}

	/**
	 * Ends the wait for announcements that are overdue.
	 * @param nowNanos the current time on the monotonic clock
	 */
	void tick(long nowNanos) {
		this.connections.values()
			.stream()
			.filter((connection) -> nowNanos - connection.sinceNanos >= MAX_WAIT_NANOS)
			.filter((connection) -> connection.knowsClaims.isEmpty())
			.forEach((connection) -> Optional.ofNullable(this.announced.get(connection.peer.name()))
				.ifPresent((previous) -> resolve(connection, previous)));
	}

	/**
	 * Sends a message that only these guards know, or holds it back until it is known
	 * whether the guard knows it.
	 * @param guard the receiver
	 * @param message the message
	 */
	void send(PeerName guard, Message message) {
		Connection connection = this.connections.get(guard);
		if (connection == null || !connection.knowsClaims.orElse(true)) {
			this.onDropped.accept(guard, message);
		}
		else if (connection.knowsClaims.isEmpty()) {
			connection.held.add(message);
		}
		else {
			this.links.accept(guard, message);
		}
	}

	private void resolveFromAnnouncement(Connection connection) {
		Optional.ofNullable(this.announced.get(connection.peer.name()))
			.filter((member) -> member.incarnation().equals(connection.peer.incarnation()))
			.ifPresent((member) -> resolve(connection, member));
	}

	private void resolve(Connection connection, Member member) {
		connection.knowsClaims = Optional.of(knowsClaims(member));
		List<Message> messages = List.copyOf(connection.held);
		connection.held.clear();
		messages.forEach((message) -> send(connection.peer.name(), message));
	}

	private void update() {
		// An announcement may expire while the store is unavailable, so a connected guard
		// stays listed.
		Set<GuardId> current = this.announced.values()
			.stream()
			.filter((member) -> this.stored.contains(member.name()) || this.connections.containsKey(member.name()))
			.filter(ClaimPeers::knowsClaims)
			.map((member) -> new GuardId(member.name().id()))
			.collect(Collectors.toUnmodifiableSet());
		if (!current.equals(this.listed)) {
			this.listed = current;
			this.onListed.accept(current);
		}
	}

	private static boolean knowsClaims(Member member) {
		return member.protocol() >= MIN_PROTOCOL;
	}

	/**
	 * A link to an incarnation of a guard.
	 */
	private static final class Connection {

		private final PeerIdentity peer;

		private final long sinceNanos;

		private final List<Message> held = new ArrayList<>();

		private Optional<Boolean> knowsClaims = Optional.empty();

		Connection(PeerIdentity peer, long sinceNanos) {
			this.peer = peer;
			this.sinceNanos = sinceNanos;
		}

	}

}
