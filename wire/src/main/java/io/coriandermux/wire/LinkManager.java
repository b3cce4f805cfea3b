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
 * The links of a process with their connections, timers and undelivered events. Not
 * thread-safe: used by the link thread only.
 */
final class LinkManager {

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

	private final Deque<BooleanSupplier> undeliveredEvents = new ArrayDeque<>();

	LinkManager(LinkContext context, LinkListener listener, Selector selector) {
		this.context = context;
		this.settings = context.settings();
		this.listener = listener;
		this.selector = selector;
	}

	void connect(PeerName name, PeerAddress address, long now) {
		InetSocketAddress socketAddress;
		try {
			socketAddress = address.toSocketAddress();
		}
		catch (InvalidAddressException ex) {
			// An earlier valid address of this peer stays in use.
			this.listener.onError(name.toString(), ex.getMessage());
			return;
		}
		PeerLink link = findOrCreateLink(name, now);
		link.address(socketAddress);
		connectIfDue(link, now);
	}

	void disconnect(PeerName name) {
		PeerLink link = this.links.remove(name);
		if (link == null) {
			return;
		}
		link.current().ifPresent(this::discard);
		link.attempt().ifPresent(this::discard);
		link.reportedIdentity().ifPresent((peer) -> deliverEvent(() -> this.listener.onLost(peer)));
	}

	void send(PeerName name, Message message) {
		Optional.ofNullable(this.links.get(name))
			.flatMap(PeerLink::current)
			.ifPresentOrElse((connection) -> send(connection, message), () -> this.listener.onDropped(name, message));
	}

	void send(PeerIdentity peer, Message message) {
		connectionTo(peer).ifPresent((connection) -> send(connection, message));
	}

	void acknowledge(PeerIdentity peer, long clockNanos) {
		connectionTo(peer).ifPresent((connection) -> connection.heartbeatEcho(clockNanos));
	}

	private Optional<Connection> connectionTo(PeerIdentity peer) {
		return Optional.ofNullable(this.links.get(peer.name()))
			.flatMap(PeerLink::current)
			.filter((connection) -> connection.peer().equals(peer));
	}

	void onAccepted(SocketChannel channel, long now) throws IOException {
		if (this.connections.size() >= this.settings.maxConnections()) {
			channel.close();
			this.listener.onError("caller",
					"connection limit reached: " + this.settings.maxConnections() + " connections");
			return;
		}
		Handshake handshake = new Handshake(this.context.secret(), this.context.self(), this.context.nonce(), false);
		register(new Connection(channel, handshake, Optional.empty(), now), SelectionKey.OP_READ);
	}

	void onBytesReceived(Connection connection, ByteBuffer in, long now) {
		connection.recordActivity(now);
		if (connection.isEstablished()) {
			this.links.get(connection.peer().name()).recordActivity(now);
		}
		try {
			connection.feed(in, (array, offset, length) -> onFrame(connection, array, offset, length, now));
		}
		catch (CodecException ex) {
			closeAndReport(connection, ex.getMessage());
		}
	}

	void closeAndReport(Connection connection, String reason) {
		if (!this.connections.contains(connection)) {
			return;
		}
		discard(connection);
		this.listener.onError(connection.label(), reason);
		Optional<PeerName> name = connection.isEstablished() ? Optional.of(connection.peer().name())
				: connection.expected();
		name.map(this.links::get).ifPresent((link) -> link.onClosed(connection));
	}

	/**
	 * Offers events and messages again that the listener did not accept before.
	 * @param now reading of the monotonic clock in nanoseconds
	 */
	void redeliver(long now) {
		while (!this.undeliveredEvents.isEmpty() && this.undeliveredEvents.peek().getAsBoolean()) {
			this.undeliveredEvents.remove();
		}
		if (!this.undeliveredEvents.isEmpty()) {
			return;
		}
		for (Connection connection : List.copyOf(this.stalled)) {
			Deque<Message> undelivered = connection.undelivered();
			while (!undelivered.isEmpty() && this.listener.onMessage(connection.peer(), undelivered.peek())) {
				undelivered.remove();
			}
			connection.recordActivity(now);
			this.links.get(connection.peer().name()).recordActivity(now);
			if (undelivered.isEmpty()) {
				this.stalled.remove(connection);
				connection.updateInterestOps();
			}
		}
	}

	long bytesSent() {
		return this.bytesSent.sum();
	}

	boolean isDeliveryPending() {
		return !this.undeliveredEvents.isEmpty() || !this.stalled.isEmpty();
	}

	void runTimers(long now) {
		for (PeerLink link : List.copyOf(this.links.values())) {
			link.current().ifPresent((connection) -> sendHeartbeatIfDue(connection, now));
			connectIfDue(link, now);
			if (link.isLost(now, this.settings)) {
				reportLost(link);
			}
		}
		for (Connection connection : List.copyOf(this.connections)) {
			if (!connection.isEstablished()
					&& now - connection.openedNanos() >= this.settings.handshakeTimeoutNanos()) {
				closeAndReport(connection, "the handshake timed out");
			}
			else if (connection.unsentBytes() > this.settings.maxUnsentBytes()) {
				closeAndReport(connection, "the unsent data exceeds its limit because the peer does not read");
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

	private PeerLink findOrCreateLink(PeerName name, long now) {
		return this.links.computeIfAbsent(name,
				(key) -> new PeerLink(key, now, this.settings.reconnectIntervalNanos()));
	}

	void flush(Connection connection, long now) {
		try {
			long written = connection.flush();
			if (written > 0) {
				connection.recordWrite(now);
				this.bytesSent.add(written);
			}
		}
		catch (IOException ex) {
			closeAndReport(connection, String.valueOf(ex.getMessage()));
		}
	}

	private void onFrame(Connection connection, byte[] array, int offset, int length, long now) throws CodecException {
		if (!connection.isEstablished()) {
			if (connection.receiveHandshakeFrame(array, offset, length)) {
				onEstablished(connection, now);
			}
			this.unflushed.add(connection);
			return;
		}
		Message message = this.codec.decode(array, offset, length);
		Deque<Message> undelivered = connection.undelivered();
		if (this.undeliveredEvents.isEmpty() && undelivered.isEmpty()
				&& this.listener.onMessage(connection.peer(), message)) {
			return;
		}
		undelivered.add(message);
		this.stalled.add(connection);
		connection.updateInterestOps();
	}

	private void onEstablished(Connection connection, long now) throws CodecException {
		PeerIdentity peer = connection.peer();
		PeerLink link = findOrCreateLink(peer.name(), now);
		Optional<PeerIdentity> previous = link.reportedIdentity().filter((identity) -> !identity.equals(peer));
		if (previous.isPresent() && previous.get().incarnation().compareTo(peer.incarnation()) > 0) {
			throw new CodecException("a newer incarnation of " + peer.name() + " is already connected");
		}
		link.current().ifPresent(this::discard);
		link.attempt().filter((attempt) -> attempt != connection && connection.isInitiator()).ifPresent(this::discard);
		link.onEstablished(connection);
		link.recordActivity(now);
		previous.ifPresent((identity) -> deliverEvent(() -> this.listener.onLost(identity)));
		link.reportedIdentity(peer);
		deliverEvent(() -> this.listener.onConnected(peer));
		sendHeartbeatIfDue(connection, now);
	}

	private void reportLost(PeerLink link) {
		PeerIdentity peer = link.reportedIdentity().orElseThrow();
		link.current().ifPresent(this::discard);
		link.current(null);
		link.reportedIdentity(null);
		if (link.address().isEmpty()) {
			this.links.remove(link.name());
		}
		deliverEvent(() -> this.listener.onLost(peer));
	}

	private void deliverEvent(BooleanSupplier delivery) {
		if (!this.undeliveredEvents.isEmpty() || !delivery.getAsBoolean()) {
			this.undeliveredEvents.add(delivery);
		}
	}

	private void sendHeartbeatIfDue(Connection connection, long now) {
		long lastNanos = this.settings.heartbeatOnlyIfIdle()
				? Math.max(connection.lastHeartbeatSentNanos(), connection.lastWriteNanos())
				: connection.lastHeartbeatSentNanos();
		if (connection.lastHeartbeatSentNanos() != 0 && now - lastNanos < this.settings.heartbeatIntervalNanos()) {
			return;
		}
		connection.recordHeartbeatSent(now);
		HeartbeatRevisions revisions = this.context.revisions().get();
		send(connection, new Heartbeat(now, connection.heartbeatEchoNanos(), connection.peer().incarnation(),
				revisions.config(), revisions.homes()));
	}

	private void send(Connection connection, Message message) {
		try {
			connection.enqueue(this.codec.encode(message));
			this.unflushed.add(connection);
		}
		catch (CodecException ex) {
			this.listener.onError(connection.label(),
					message.getClass().getSimpleName() + " was not sent: " + ex.getMessage());
		}
	}

	private void connectIfDue(PeerLink link, long now) {
		if (!link.isConnectDue(now, this.settings)) {
			return;
		}
		InetSocketAddress address = link.address().orElseThrow();
		Handshake handshake = new Handshake(this.context.secret(), this.context.self(), this.context.nonce(), true);
		try {
			SocketChannel channel = SocketChannel.open();
			Connection connection = new Connection(channel, handshake, Optional.of(link.name()), now);
			link.attempt(connection, now);
			register(connection, SelectionKey.OP_CONNECT);
			connection.startHandshake();
			if (channel.connect(address)) {
				connection.updateInterestOps();
			}
			this.unflushed.add(connection);
		}
		catch (IOException | CodecException | IllegalArgumentException ex) {
			link.attempt()
				.ifPresent((connection) -> closeAndReport(connection,
						address.getAddress().getHostAddress() + ":" + address.getPort() + ": " + ex.getMessage()));
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
