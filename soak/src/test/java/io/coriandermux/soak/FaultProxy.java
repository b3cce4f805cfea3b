package io.coriandermux.soak;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * TCP proxy on loopback that can delay, drop, hold back, or reset the traffic of one
 * link. Its connections are confined to the thread of its loop.
 */
final class FaultProxy implements AutoCloseable {

	/**
	 * How the bytes of open connections are handled. Modes that drop bytes forward the
	 * end of a connection. Modes that hold bytes also hold its end, as a network that
	 * loses all packets does, and deliver both in their order when the fault is over.
	 */
	enum Mode {

		/** Bytes are forwarded at once. */
		PASS(false, false, false, false),

		/** Bytes are forwarded after a delay. */
		DELAY(false, false, false, false),

		/** Bytes from the client to the target are dropped. */
		CUT_FORTH(true, false, false, false),

		/** Bytes from the target to the client are dropped. */
		CUT_BACK(false, true, false, false),

		/** Bytes in both directions are dropped. */
		SILENT(true, true, false, false),

		/** Bytes are forwarded at once, and the end of a connection after a delay. */
		LATE_CLOSE(false, false, false, false),

		/** Bytes and the end from the client to the target are held. */
		HOLD_FORTH(false, false, true, false),

		/** Bytes and the end from the target to the client are held. */
		HOLD_BACK(false, false, false, true),

		/** Bytes and ends in both directions are held. */
		HOLD(false, false, true, true),

		/** All connections are reset, also new ones. */
		REFUSE(false, false, false, false);

		/** The modes of links. Plans of earlier seeds depend on their order. */
		static final List<Mode> LINK_FAULTS = List.of(DELAY, CUT_FORTH, CUT_BACK, SILENT);

		private final boolean dropsForth;

		private final boolean dropsBack;

		private final boolean holdsForth;

		private final boolean holdsBack;

		Mode(boolean dropsForth, boolean dropsBack, boolean holdsForth, boolean holdsBack) {
			this.dropsForth = dropsForth;
			this.dropsBack = dropsBack;
			this.holdsForth = holdsForth;
			this.holdsBack = holdsBack;
		}

	}

	/** The side of a connection that is reset while the other one is not told. */
	enum ResetSide {

		/** Both sides stay open. */
		NONE,

		/** The client's side is reset. */
		CLIENT,

		/** The target's side is reset. */
		TARGET

	}

	private static final int BUFFER_BYTES = 16 * 1024;

	/** Like the buffers of a socket, so that a target that does not read is noticed. */
	private static final int MAX_PENDING_BYTES = 256 * 1024;

	private static final long DELAY_MILLIS = 60;

	private static final int MIN_CLOSE_DELAY_MILLIS = 100;

	private static final int CLOSE_DELAY_RANGE_MILLIS = 1_400;

	private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final long HELD = Long.MAX_VALUE;

	private final ProxyLoop loop;

	private final ServerSocketChannel server;

	private final int port;

	private final int targetPort;

	private final Set<Connection> connections = new LinkedHashSet<>();

	/** Ports of clients whose connection the target did not accept. */
	private final Set<Integer> refusedClientPorts = ConcurrentHashMap.newKeySet();

	private Mode mode = Mode.PASS;

	/** How requests are held, null if they are not. */
	private RequestHold requestHold;

	private Random requestChoice;

	FaultProxy(ProxyLoop loop, int targetPort) throws IOException {
		this.loop = loop;
		this.targetPort = targetPort;
		this.server = ServerSocketChannel.open();
		this.server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024);
		this.server.configureBlocking(false);
		this.port = this.server.socket().getLocalPort();
		loop.execute(() -> {
			try {
				loop.register(this.server, SelectionKey.OP_ACCEPT, (key) -> accept());
			}
			catch (IOException ex) {
				if (!this.server.isOpen()) {
					// The proxy was closed before its first connection.
					return;
				}
				throw new IllegalStateException("the proxy of port " + targetPort + " cannot accept connections", ex);
			}
		});
	}

	int port() {
		return this.port;
	}

	/**
	 * Returns whether the target did not accept the last connection from a port.
	 * @param clientPort the port of the client
	 * @return whether it was refused, so that the target has read nothing
	 */
	boolean hasRefused(int clientPort) {
		return this.refusedClientPorts.contains(clientPort);
	}

	// Connections that were open in a mode that drops bytes stay in that mode; only new
	// connections work again.
	void setMode(Mode next) {
		this.loop.execute(() -> {
			Mode previous = this.mode;
			this.mode = next;
			if (next == Mode.REFUSE) {
				List.copyOf(this.connections).forEach(Connection::reset);
			}
			if (next == Mode.PASS && previous != Mode.DELAY) {
				this.connections.forEach((connection) -> connection.ownMode = previous);
			}
		});
	}

	/**
	 * Impairs a part of the open connections until {@link #release(long)}.
	 * @param next their mode
	 * @param side the side that is reset at once
	 * @param percent the share of the connections in percent
	 * @param seed selects the connections and the delays of their ends, and identifies
	 * the impairment
	 */
	void impair(Mode next, ResetSide side, int percent, long seed) {
		this.loop.execute(() -> {
			Random choice = new Random(seed);
			for (Connection connection : List.copyOf(this.connections)) {
				long closeDelayMillis = MIN_CLOSE_DELAY_MILLIS + choice.nextInt(CLOSE_DELAY_RANGE_MILLIS);
				if (choice.nextInt(100) < percent) {
					connection.impair(next, side, closeDelayMillis, seed);
				}
			}
		});
	}

	/**
	 * Ends an impairment and delivers what was held. Connections that have been impaired
	 * again meanwhile stay so.
	 * @param seed the seed of the impairment
	 */
	void release(long seed) {
		this.loop.execute(() -> List.copyOf(this.connections).forEach((connection) -> connection.release(seed)));
	}

	/**
	 * Holds a part of the requests that clients send until {@link #stopHolding()}. Each
	 * is delivered as a whole, and the target does not see that it was held.
	 * @param hold how requests are held
	 * @param seed selects the requests and their delays
	 */
	void holdRequests(RequestHold hold, long seed) {
		this.loop.execute(() -> {
			this.requestHold = hold;
			this.requestChoice = new Random(seed);
		});
	}

	/** Holds no further requests. Those that are held are delivered when they are due. */
	void stopHolding() {
		this.loop.execute(() -> this.requestHold = null);
	}

	void reset() {
		reset(100, 0);
	}

	/**
	 * Resets a part of the open connections on both sides.
	 * @param percent the share of the connections in percent
	 * @param seed selects the connections
	 */
	void reset(int percent, long seed) {
		this.loop.execute(() -> {
			Random choice = new Random(seed);
			for (Connection connection : List.copyOf(this.connections)) {
				if (choice.nextInt(100) < percent) {
					connection.reset();
				}
			}
		});
	}

	private void accept() {
		try {
			for (SocketChannel client = this.server.accept(); client != null; client = this.server.accept()) {
				if (this.mode == Mode.REFUSE) {
					Connection.resetChannel(client);
				}
				else {
					new Connection(client, SocketChannel.open()).connect();
				}
			}
		}
		catch (IOException ex) {
			closeQuietly(this.server);
		}
	}

	private static void closeQuietly(Closeable channel) {
		try {
			channel.close();
		}
		catch (IOException ex) {
			// The channel is closed all the same.
			return;
		}
	}

	@Override
	public void close() {
		closeQuietly(this.server);
		reset();
	}

	private final class Connection {

		private final SocketChannel client;

		private final SocketChannel target;

		private final Direction forth;

		private final Direction back;

		private SelectionKey clientKey;

		private SelectionKey targetKey;

		private Mode ownMode;

		private long closeDelayMillis;

		private long impairment;

		/** When a held request is delivered, 0 if none was held. */
		private long requestDueMillis;

		private long endDelayMillis;

		Connection(SocketChannel client, SocketChannel target) {
			this.client = client;
			this.target = target;
			this.forth = new Direction(client, target);
			this.back = new Direction(target, client);
		}

		void connect() throws IOException {
			this.client.configureBlocking(false);
			this.target.configureBlocking(false);
			this.client.setOption(StandardSocketOptions.TCP_NODELAY, true);
			this.target.setOption(StandardSocketOptions.TCP_NODELAY, true);
			FaultProxy.this.refusedClientPorts.remove(this.client.socket().getPort());
			FaultProxy.this.connections.add(this);
			try {
				this.target
					.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), FaultProxy.this.targetPort));
				this.clientKey = FaultProxy.this.loop.register(this.client, 0, (key) -> onReady());
				this.targetKey = FaultProxy.this.loop.register(this.target, SelectionKey.OP_CONNECT,
						(key) -> onReady());
				FaultProxy.this.loop.executeAfter(CONNECT_TIMEOUT_MILLIS, () -> {
					if (this.target.isConnectionPending()) {
						refuse();
					}
				});
			}
			catch (IOException ex) {
				refuse();
			}
		}

		// The target does not listen. A reset lets the client detect the failure at once.
		private void refuse() {
			FaultProxy.this.refusedClientPorts.add(this.client.socket().getPort());
			reset();
		}

		private void onReady() {
			if (this.target.isConnectionPending()) {
				try {
					this.target.finishConnect();
				}
				catch (IOException ex) {
					refuse();
					return;
				}
			}
			if (this.clientKey.isValid() && this.clientKey.isReadable()) {
				read(this.forth);
			}
			if (this.targetKey.isValid() && this.targetKey.isReadable()) {
				read(this.back);
			}
			flush(this.forth);
			flush(this.back);
			updateInterest();
		}

		private Mode mode() {
			return (this.ownMode != null) ? this.ownMode : FaultProxy.this.mode;
		}

		private boolean holds(Direction direction) {
			return (direction == this.forth) ? mode().holdsForth : mode().holdsBack;
		}

		private void read(Direction direction) {
			boolean drops = (direction == this.forth) ? mode().dropsForth : mode().dropsBack;
			ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
			try {
				int read = direction.from.read(buffer);
				if (read < 0) {
					end(direction, false);
				}
				else if (read > 0 && isNextHeld(direction)) {
					hold(buffer.flip(), FaultProxy.this.requestHold);
				}
				else if (read > 0 && !drops && direction.to.isOpen()) {
					direction.add(new Chunk(buffer.flip(), false, dueMillis(direction, DELAY_MILLIS, Mode.DELAY)));
				}
			}
			catch (IOException ex) {
				end(direction, true);
			}
		}

		// Callers send a request at once, so that one read returns all of it.
		private boolean isNextHeld(Direction direction) {
			return direction == this.forth && FaultProxy.this.requestHold != null
					&& FaultProxy.this.requestChoice.nextInt(100) < FaultProxy.this.requestHold.percent();
		}

		private void hold(ByteBuffer request, RequestHold hold) {
			this.requestDueMillis = ProxyLoop.nowMillis() + hold.minMillis()
					+ FaultProxy.this.requestChoice.nextInt(hold.rangeMillis());
			this.endDelayMillis = hold.endDelayMillis();
			this.forth.add(new Chunk(request, false, this.requestDueMillis));
			if (hold.resetMillis() >= 0) {
				FaultProxy.this.loop.executeAfter(hold.resetMillis(), () -> resetSide(ResetSide.CLIENT));
			}
		}

		private long dueMillis(Direction direction, long delayMillis, Mode delayingMode) {
			if (holds(direction)) {
				return HELD;
			}
			return ProxyLoop.nowMillis() + ((mode() == delayingMode) ? delayMillis : 0);
		}

		private void end(Direction direction, boolean byReset) {
			direction.ended = true;
			if (!direction.to.isOpen()) {
				// The other side was reset before, so both are gone.
				reset();
				return;
			}
			long dueMillis = dueMillis(direction, this.closeDelayMillis, Mode.LATE_CLOSE);
			if (direction == this.forth && this.requestDueMillis > 0) {
				dueMillis = Math.max(dueMillis, this.requestDueMillis + this.endDelayMillis);
			}
			direction.add(new Chunk(null, byReset, dueMillis));
		}

		private void flush(Direction direction) {
			try {
				while (direction.to.isOpen() && !direction.pending.isEmpty()) {
					Chunk chunk = direction.pending.peek();
					long remainingMillis = chunk.dueMillis - ProxyLoop.nowMillis();
					if (remainingMillis > 0) {
						if (chunk.dueMillis != HELD) {
							FaultProxy.this.loop.executeAfter(remainingMillis, this::onReadyLater);
						}
						return;
					}
					if (chunk.bytes != null) {
						int written = direction.to.write(chunk.bytes);
						direction.pendingBytes -= written;
						if (chunk.bytes.hasRemaining()) {
							return;
						}
					}
					else if (chunk.byReset) {
						reset();
						return;
					}
					else {
						direction.to.shutdownOutput();
						direction.delivered = true;
					}
					direction.pending.poll();
				}
				if (this.forth.delivered && this.back.delivered) {
					close();
				}
			}
			catch (IOException ex) {
				reset();
			}
		}

		private void onReadyLater() {
			if (this.targetKey.isValid() || this.clientKey.isValid()) {
				flush(this.forth);
				flush(this.back);
				updateInterest();
			}
		}

		private void updateInterest() {
			if (this.target.isConnectionPending()) {
				return;
			}
			setInterest(this.clientKey, this.forth, this.back);
			setInterest(this.targetKey, this.back, this.forth);
		}

		private static void setInterest(SelectionKey key, Direction reading, Direction writing) {
			if (key.isValid()) {
				key.interestOps((reading.isReadable() ? SelectionKey.OP_READ : 0)
						| (writing.isBlocked() ? SelectionKey.OP_WRITE : 0));
			}
		}

		// Also a connection that the target has accepted and that the loop does not know
		// as open yet is impaired.
		void impair(Mode next, ResetSide side, long delayMillis, long seed) {
			this.ownMode = next;
			this.impairment = seed;
			this.closeDelayMillis = delayMillis;
			if (side != ResetSide.NONE) {
				resetSide(side);
			}
		}

		private void resetSide(ResetSide side) {
			Direction silenced = (side == ResetSide.CLIENT) ? this.forth : this.back;
			resetChannel(silenced.from);
			if (!silenced.ended) {
				end(silenced, true);
			}
			updateInterest();
		}

		void release(long seed) {
			if (this.ownMode == null || this.impairment != seed) {
				return;
			}
			this.ownMode = null;
			this.forth.release();
			this.back.release();
			flush(this.forth);
			flush(this.back);
			updateInterest();
		}

		void reset() {
			resetChannel(this.client);
			resetChannel(this.target);
			FaultProxy.this.connections.remove(this);
		}

		private static void resetChannel(SocketChannel channel) {
			try {
				if (channel.isOpen()) {
					channel.setOption(StandardSocketOptions.SO_LINGER, 0);
				}
			}
			catch (IOException ex) {
				// The peer has already closed the connection.
				closeQuietly(channel);
			}
			closeQuietly(channel);
		}

		private void close() {
			closeQuietly(this.client);
			closeQuietly(this.target);
			FaultProxy.this.connections.remove(this);
		}

	}

	/** What is to be delivered from one side of a connection to the other. */
	private static final class Direction {

		private final SocketChannel from;

		private final SocketChannel to;

		private final Deque<Chunk> pending = new ArrayDeque<>();

		private int pendingBytes;

		private boolean ended;

		private boolean delivered;

		Direction(SocketChannel from, SocketChannel to) {
			this.from = from;
			this.to = to;
		}

		void add(Chunk chunk) {
			this.pending.add(chunk);
			this.pendingBytes += (chunk.bytes != null) ? chunk.bytes.remaining() : 0;
		}

		void release() {
			this.pending.forEach((chunk) -> chunk.dueMillis = 0);
		}

		boolean isReadable() {
			return !this.ended && this.pendingBytes < MAX_PENDING_BYTES;
		}

		boolean isBlocked() {
			return !this.pending.isEmpty() && this.pending.peek().dueMillis <= ProxyLoop.nowMillis();
		}

	}

	/** Bytes, or the end of a direction. */
	private static final class Chunk {

		private final ByteBuffer bytes;

		private final boolean byReset;

		private long dueMillis;

		Chunk(ByteBuffer bytes, boolean byReset, long dueMillis) {
			this.bytes = bytes;
			this.byReset = byReset;
			this.dueMillis = dueMillis;
		}

	}

}
