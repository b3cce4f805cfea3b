package io.coriandermux.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;

import io.coriandermux.core.message.Heartbeat;
import io.coriandermux.core.message.Message;

/**
 * State of all links of a process. Used by the link thread only.
 */
final class Links {

	private final LinkContext context;

	private final LinkSettings settings;

	private final LinkListener listener;

	private final Selector selector;

	private final MessageCodec codec = new MessageCodec();

	private final Map<PeerName, PeerLink> links = new LinkedHashMap<>();

	private final Set<Connection> connections = new LinkedHashSet<>();

	private final Set<Connection> unflushed = new LinkedHashSet<>();

	private final Set<Connection> stalled = new LinkedHashSet<>();

	private final LongAdder bytesSent = new LongAdder();

	private final Deque<BooleanSupplier> events = new ArrayDeque<>();

	Links(LinkContext context, LinkListener listener, Selector selector) {
		this.context = context;
		this.settings = context.settings();
		this.listener = listener;
		this.selector = selector;
	}

	void connect(PeerName name, PeerAddress address, long now) {
		PeerLink link = link(name, now);
		link.address(address);
		attemptIfDue(link, now);
	}

	void disconnect(PeerName name) {
		PeerLink link = this.links.remove(name);
		if (link == null) {
			return;
		}
		link.current().ifPresent(this::discard);
		link.attempt().ifPresent(this::discard);
		link.reported().ifPresent((peer) -> event(() -> this.listener.lost(peer)));
	}

	void send(PeerName name, Message message) {
		PeerLink link = this.links.get(name);
		if (link != null) {
			link.current().ifPresent((connection) -> send(connection, message));
		}
	}

	void acknowledge(PeerIdentity peer, long clockNanos) {
		Optional.ofNullable(this.links.get(peer.name()))
			.flatMap(PeerLink::current)
			.filter((connection) -> connection.peer().equals(peer))
			.ifPresent((connection) -> connection.peerClock(clockNanos));
	}

	void accepted(SocketChannel channel, long now) throws IOException {
		if (this.connections.size() >= this.settings.maxConnections()) {
			channel.close();
			this.listener.fault("caller", "more than " + this.settings.maxConnections() + " connections");
			return;
		}
		Handshake handshake = new Handshake(this.context.secret(), this.context.self(), this.context.nonce(), false);
		register(new Connection(channel, handshake, Optional.empty(), now), SelectionKey.OP_READ);
	}

	void received(Connection connection, ByteBuffer in, long now) {
		connection.heard(now);
		if (connection.established()) {
			this.links.get(connection.peer().name()).heard(now);
		}
		try {
			connection.feed(in, (array, offset, length) -> frame(connection, array, offset, length, now));
		}
		catch (CodecException ex) {
			closed(connection, ex.getMessage());
		}
	}

	void closed(Connection connection, String reason) {
		if (!this.connections.contains(connection)) {
			return;
		}
		discard(connection);
		this.listener.fault(connection.label(), reason);
		Optional<PeerName> name = connection.established() ? Optional.of(connection.peer().name())
				: connection.expected();
		name.map(this.links::get).ifPresent((link) -> link.ended(connection));
	}

	/**
	 * Offers events and messages again that were not taken.
	 * @param now reading of the monotonic clock in nanoseconds
	 */
	void deliver(long now) {
		while (!this.events.isEmpty() && this.events.peek().getAsBoolean()) {
			this.events.remove();
		}
		if (!this.events.isEmpty()) {
			return;
		}
		for (Connection connection : List.copyOf(this.stalled)) {
			Deque<Message> waiting = connection.undelivered();
			while (!waiting.isEmpty() && this.listener.message(connection.peer(), waiting.peek())) {
				waiting.remove();
			}
			connection.heard(now);
			this.links.get(connection.peer().name()).heard(now);
			if (waiting.isEmpty()) {
				this.stalled.remove(connection);
				connection.interest();
			}
		}
	}

	long bytesSent() {
		return this.bytesSent.sum();
	}

	boolean isDeliveryPending() {
		return !this.events.isEmpty() || !this.stalled.isEmpty();
	}

	void timers(long now) {
		for (PeerLink link : List.copyOf(this.links.values())) {
			link.current().ifPresent((connection) -> heartbeat(connection, now));
			attemptIfDue(link, now);
			if (link.isLost(now, this.settings)) {
				lose(link);
			}
		}
		for (Connection connection : List.copyOf(this.connections)) {
			if (!connection.established() && now - connection.openedNanos() >= this.settings.answerNanos()) {
				closed(connection, "no handshake in time");
			}
			else if (connection.unsentBytes() > this.settings.maxUnsentBytes()) {
				closed(connection, "the peer does not read");
			}
		}
	}

	void flush(long now) {
		for (Connection connection : new ArrayList<>(this.unflushed)) {
			flush(connection, now);
		}
		this.unflushed.clear();
	}

	void closeAll() {
		this.connections.forEach(Connection::close);
		this.connections.clear();
	}

	private PeerLink link(PeerName name, long now) {
		return this.links.computeIfAbsent(name, (key) -> new PeerLink(key, now, this.settings.retryNanos()));
	}

	void flush(Connection connection, long now) {
		try {
			long written = connection.flush();
			if (written > 0) {
				connection.sent(now);
				this.bytesSent.add(written);
			}
		}
		catch (IOException ex) {
			closed(connection, String.valueOf(ex.getMessage()));
		}
	}

	private void frame(Connection connection, byte[] array, int offset, int length, long now) throws CodecException {
		if (!connection.established()) {
			if (connection.handshake(array, offset, length)) {
				established(connection, now);
			}
			this.unflushed.add(connection);
			return;
		}
		Message message = this.codec.decode(array, offset, length);
		Deque<Message> waiting = connection.undelivered();
		if (this.events.isEmpty() && waiting.isEmpty() && this.listener.message(connection.peer(), message)) {
			return;
		}
		waiting.add(message);
		this.stalled.add(connection);
		connection.interest();
	}

	private void established(Connection connection, long now) throws CodecException {
		PeerIdentity peer = connection.peer();
		PeerLink link = link(peer.name(), now);
		Optional<PeerIdentity> former = link.reported().filter((identity) -> !identity.equals(peer));
		if (former.isPresent() && former.get().incarnation().compareTo(peer.incarnation()) > 0) {
			throw new CodecException("a newer incarnation of " + peer.name() + " is linked");
		}
		link.current().ifPresent(this::discard);
		link.attempt().filter((attempt) -> attempt != connection && connection.opener()).ifPresent(this::discard);
		link.established(connection);
		link.heard(now);
		former.ifPresent((identity) -> event(() -> this.listener.lost(identity)));
		link.reported(peer);
		event(() -> this.listener.up(peer));
		heartbeat(connection, now);
	}

	private void lose(PeerLink link) {
		PeerIdentity peer = link.reported().orElseThrow();
		link.current().ifPresent(this::discard);
		link.current(null);
		link.reported(null);
		if (link.address().isEmpty()) {
			this.links.remove(link.name());
		}
		event(() -> this.listener.lost(peer));
	}

	private void event(BooleanSupplier delivery) {
		if (!this.events.isEmpty() || !delivery.getAsBoolean()) {
			this.events.add(delivery);
		}
	}

	private void heartbeat(Connection connection, long now) {
		long last = this.settings.idleOnly() ? Math.max(connection.heartbeatSentNanos(), connection.sentNanos())
				: connection.heartbeatSentNanos();
		if (connection.heartbeatSentNanos() != 0 && now - last < this.settings.heartbeatNanos()) {
			return;
		}
		connection.heartbeatSent(now);
		Revisions revisions = this.context.revisions().get();
		send(connection, new Heartbeat(now, connection.peerClockNanos(), connection.peer().incarnation(),
				revisions.config(), revisions.homes()));
	}

	private void send(Connection connection, Message message) {
		try {
			connection.enqueue(this.codec.encode(message));
			this.unflushed.add(connection);
		}
		catch (CodecException ex) {
			this.listener.fault(connection.label(),
					message.getClass().getSimpleName() + " was not sent: " + ex.getMessage());
		}
	}

	private void attemptIfDue(PeerLink link, long now) {
		if (!link.wantsAttempt(now, this.settings)) {
			return;
		}
		PeerAddress address = link.address().orElseThrow();
		Handshake handshake = new Handshake(this.context.secret(), this.context.self(), this.context.nonce(), true);
		try {
			SocketChannel channel = SocketChannel.open();
			Connection connection = new Connection(channel, handshake, Optional.of(link.name()), now);
			link.attempt(connection, now);
			register(connection, SelectionKey.OP_CONNECT);
			connection.begin();
			if (channel.connect(new InetSocketAddress(address.host(), address.port()))) {
				connection.interest();
			}
			this.unflushed.add(connection);
		}
		catch (IOException | CodecException | IllegalArgumentException ex) {
			link.attempt().ifPresent((connection) -> closed(connection, address + ": " + ex.getMessage()));
		}
	}

	private void register(Connection connection, int operations) throws IOException {
		SocketChannel channel = connection.channel();
		channel.configureBlocking(false);
		channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
		connection.key(channel.register(this.selector, operations, connection));
		this.connections.add(connection);
	}

	private void discard(Connection connection) {
		connection.close();
		this.connections.remove(connection);
		this.unflushed.remove(connection);
		this.stalled.remove(connection);
	}

}
