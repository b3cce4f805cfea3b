package io.coriandermux.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Iterator;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;

import io.coriandermux.core.message.Message;
import org.jctools.queues.MpscArrayQueue;

/**
 * The links of a process, served by one thread. Other threads hand it their messages
 * through a bounded ring. The thread never waits for a receiver: it stops reading from a
 * peer whose messages are not taken, and replaces the connection of a peer that does not
 * read.
 */
public final class LinkLoop implements AutoCloseable {

	private static final int RING_SIZE = 4096;

	private static final int READ_BYTES = 256 * 1024;

	private static final int BACKLOG = 1024;

	private static final long BUSY_WAIT_MILLIS = 1;

	private static final long IDLE_WAIT_MILLIS = 50;

	private static final long RING_FULL_PARK_NANOS = 20_000;

	/**
	 * Heartbeats are 500 ms apart; 50 ms bounds their delay and keeps an idle process
	 * asleep.
	 */
	private static final long TIMER_NANOS = 50 * 1000000L;

	private static final long CLOSE_WAIT_MILLIS = 2000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final HostedLoop NONE_HOSTED = new HostedLoop() {

		@Override
		public long pass() {
			return Long.MAX_VALUE;
		}

		@Override
		public boolean isWorkWaiting() {
			return false;
		}

	};

	private final Selector selector;

	private final ServerSocketChannel server;

	private final Links links;

	private final TimeSource time;

	private final LinkListener listener;

	private final MpscArrayQueue<Runnable> ring = new MpscArrayQueue<>(RING_SIZE);

	private final AtomicBoolean waiting = new AtomicBoolean();

	private final AtomicBoolean running = new AtomicBoolean();

	private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BYTES);

	private final LongAdder bytesReceived = new LongAdder();

	private final Thread thread;

	private HostedLoop hosted = NONE_HOSTED;

	private long timersNanos;

	/**
	 * Binds the port; {@link #start} begins to serve it.
	 * @param context what the links need to know of the process
	 * @param bind address to accept links at; port 0 selects a free one
	 * @param listener receives messages and events
	 * @throws IOException if the port cannot be bound
	 */
	public LinkLoop(LinkContext context, PeerAddress bind, LinkListener listener) throws IOException {
		this.time = context.time();
		this.timersNanos = now();
		this.listener = listener;
		this.selector = Selector.open();
		this.server = ServerSocketChannel.open();
		this.server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
		this.server.bind(new InetSocketAddress(InetAddress.getByName(bind.host()), bind.port()), BACKLOG);
		this.server.configureBlocking(false);
		this.server.register(this.selector, SelectionKey.OP_ACCEPT);
		this.links = new Links(context, listener, this.selector);
		this.thread = new Thread(this::run, "links");
		this.thread.setDaemon(true);
	}

	/**
	 * Runs a loop on the thread of the links. To be called before {@link #start}.
	 * @param loop the loop
	 */
	public void host(HostedLoop loop) {
		this.hosted = loop;
	}

	/**
	 * Lets the thread look for work of the hosted loop.
	 */
	public void wakeUp() {
		if (this.waiting.compareAndSet(true, false)) {
			this.selector.wakeup();
		}
	}

	/**
	 * Starts the thread.
	 */
	public void start() {
		this.running.set(true);
		this.thread.start();
	}

	/**
	 * Returns the bound port.
	 * @return the port
	 */
	public int port() {
		return this.server.socket().getLocalPort();
	}

	/**
	 * Returns the bytes sent since the start.
	 * @return the bytes, heartbeats and handshakes included
	 */
	public long bytesSent() {
		return this.links.bytesSent();
	}

	/**
	 * Returns the bytes received since the start.
	 * @return the bytes, heartbeats and handshakes included
	 */
	public long bytesReceived() {
		return this.bytesReceived.sum();
	}

	/**
	 * Opens a link and keeps it open until {@link #disconnect}.
	 * @param peer the process
	 * @param address where it accepts links
	 */
	public void connect(PeerName peer, PeerAddress address) {
		submit(() -> this.links.connect(peer, address, now()));
	}

	/**
	 * Ends a link that this process opened.
	 * @param peer the process
	 */
	public void disconnect(PeerName peer) {
		submit(() -> this.links.disconnect(peer));
	}

	/**
	 * Sends a message. It is dropped if there is no link to the peer; {@code up} is
	 * reported when there is one again. Waits while the ring is full, which is bounded
	 * because the link thread never waits.
	 * @param peer the receiver
	 * @param message the message
	 */
	public void send(PeerName peer, Message message) {
		submit(() -> this.links.send(peer, message));
	}

	/**
	 * States in the heartbeats that follow that a heartbeat of the peer was processed. It
	 * takes effect after the messages handed over before, so a peer that sees the echo
	 * has seen these messages.
	 * @param peer the sender of the processed heartbeat
	 * @param clockNanos the clock reading in it
	 */
	public void acknowledge(PeerIdentity peer, long clockNanos) {
		submit(() -> this.links.acknowledge(peer, clockNanos));
	}

	/**
	 * Sends what is waiting, then closes all links and the port.
	 */
	@Override
	public void close() {
		if (this.running.compareAndSet(true, false)) {
			this.selector.wakeup();
			try {
				this.thread.join(CLOSE_WAIT_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		else {
			release();
		}
	}

	private void submit(Runnable command) {
		if (Thread.currentThread() == this.thread) {
			command.run();
			return;
		}
		while (!this.ring.offer(command)) {
			if (!this.running.get()) {
				return;
			}
			LockSupport.parkNanos(RING_FULL_PARK_NANOS);
		}
		wakeUp();
	}

	private void run() {
		while (this.running.get()) {
			try {
				pass();
			}
			catch (IOException ex) {
				this.listener.fault("selector", String.valueOf(ex.getMessage()));
			}
			catch (RuntimeException ex) {
				this.listener.fault("links", "fault of the program: " + ex);
			}
		}
		this.ring.drain(Runnable::run, RING_SIZE);
		this.links.flush(now());
		release();
	}

	private void pass() throws IOException {
		this.ring.drain(Runnable::run, RING_SIZE);
		this.links.deliver(now());
		long hostedNanos = this.hosted.pass();
		long now = now();
		if (now - this.timersNanos >= TIMER_NANOS) {
			this.timersNanos = now;
			this.links.timers(now);
		}
		this.links.flush(now);
		this.waiting.set(true);
		if (this.ring.isEmpty() && hostedNanos > 0 && !this.hosted.isWorkWaiting()) {
			this.selector.select(waitMillis(hostedNanos));
		}
		else {
			this.selector.selectNow();
		}
		this.waiting.set(false);
		Iterator<SelectionKey> keys = this.selector.selectedKeys().iterator();
		while (keys.hasNext()) {
			SelectionKey key = keys.next();
			keys.remove();
			serve(key);
		}
	}

	private long waitMillis(long hostedNanos) {
		long limit = this.links.isDeliveryPending() ? BUSY_WAIT_MILLIS : IDLE_WAIT_MILLIS;
		return Math.min(limit, hostedNanos / NANOS_PER_MILLI + 1);
	}

	private void serve(SelectionKey key) throws IOException {
		if (!key.isValid()) {
			return;
		}
		if (key.isAcceptable()) {
			accept();
			return;
		}
		Connection connection = (Connection) key.attachment();
		try {
			if (key.isConnectable()) {
				connection.channel().finishConnect();
				connection.interest();
			}
			if (key.isReadable()) {
				read(connection);
			}
			if (key.isValid() && key.isWritable()) {
				this.links.flush(connection, now());
			}
		}
		catch (IOException ex) {
			this.links.closed(connection, String.valueOf(ex.getMessage()));
		}
		catch (RuntimeException ex) {
			// A fault of the program at one message costs its connection, not the
			// process.
			this.links.closed(connection, "fault of the program: " + ex);
		}
	}

	private void accept() throws IOException {
		SocketChannel channel = this.server.accept();
		if (channel != null) {
			this.links.accepted(channel, now());
		}
	}

	private void read(Connection connection) throws IOException {
		this.readBuffer.clear();
		int count = connection.channel().read(this.readBuffer);
		if (count < 0) {
			this.links.closed(connection, "closed by the peer");
			return;
		}
		this.bytesReceived.add(count);
		this.readBuffer.flip();
		this.links.received(connection, this.readBuffer, now());
	}

	private long now() {
		return this.time.now().nanos();
	}

	private void release() {
		this.links.closeAll();
		try {
			this.server.close();
			this.selector.close();
		}
		catch (IOException ex) {
			this.listener.fault("selector", String.valueOf(ex.getMessage()));
		}
	}

}
