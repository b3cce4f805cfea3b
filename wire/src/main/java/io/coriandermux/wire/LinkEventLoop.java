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
 * Runs the TCP links of a process on one thread. Other threads pass their messages to it
 * through a bounded queue. The thread never blocks on a receiver: it stops reading from a
 * peer whose messages the listener does not accept, and replaces the connection of a peer
 * that does not read.
 */
public final class LinkEventLoop implements AutoCloseable {

	private static final int COMMAND_QUEUE_CAPACITY = 4096;

	private static final int READ_BUFFER_BYTES = 256 * 1024;

	private static final int ACCEPT_BACKLOG = 1024;

	private static final long REDELIVERY_WAIT_MILLIS = 1;

	private static final long IDLE_WAIT_MILLIS = 50;

	private static final long QUEUE_FULL_PARK_NANOS = 20_000;

	/**
	 * Heartbeats are 500 ms apart; an interval of 50 ms bounds their delay without waking
	 * an idle process often.
	 */
	private static final long TIMER_INTERVAL_NANOS = 50 * 1000000L;

	private static final long CLOSE_TIMEOUT_MILLIS = 2000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final HostedLoop NO_HOSTED_LOOP = new HostedLoop() {

		@Override
		public long runOnce() {
			return Long.MAX_VALUE;
		}

		@Override
		public boolean hasPendingWork() {
			return false;
		}

	};

	private final Selector selector;

	private final ServerSocketChannel server;

	private final LinkManager links;

	private final TimeSource time;

	private final LinkListener listener;

	private final MpscArrayQueue<Runnable> commands = new MpscArrayQueue<>(COMMAND_QUEUE_CAPACITY);

	private final AtomicBoolean selecting = new AtomicBoolean();

	private final AtomicBoolean running = new AtomicBoolean();

	private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);

	private final LongAdder bytesReceived = new LongAdder();

	private final Thread thread;

	private HostedLoop hostedLoop = NO_HOSTED_LOOP;

	private long lastTimerRunNanos;

	/**
	 * Binds the port. {@link #start} starts to accept connections.
	 * @param context configuration and dependencies of the links
	 * @param bind address to accept connections at; port 0 selects a free port
	 * @param listener receives messages and events
	 * @throws IOException if the port cannot be bound
	 */
	public LinkEventLoop(LinkContext context, PeerAddress bind, LinkListener listener) throws IOException {
		this.time = context.time();
		this.lastTimerRunNanos = now();
		this.listener = listener;
		this.selector = Selector.open();
		this.server = ServerSocketChannel.open();
		this.server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
		this.server.bind(new InetSocketAddress(InetAddress.getByName(bind.host()), bind.port()), ACCEPT_BACKLOG);
		this.server.configureBlocking(false);
		this.server.register(this.selector, SelectionKey.OP_ACCEPT);
		this.links = new LinkManager(context, listener, this.selector);
		this.thread = new Thread(this::run, "links");
		this.thread.setDaemon(true);
	}

	/**
	 * Runs another loop on the link thread. Must be called before {@link #start}.
	 * @param loop the loop
	 */
	public void attachLoop(HostedLoop loop) {
		this.hostedLoop = loop;
	}

	/**
	 * Wakes the link thread if it waits for I/O, so that it runs the hosted loop.
	 */
	public void wakeUp() {
		if (this.selecting.compareAndSet(true, false)) {
			this.selector.wakeup();
		}
	}

	/**
	 * Starts the link thread.
	 */
	public void start() {
		this.running.set(true);
		this.thread.start();
	}

	/**
	 * Returns the port that is bound.
	 * @return the port
	 */
	public int port() {
		return this.server.socket().getLocalPort();
	}

	/**
	 * Returns the number of bytes sent since the start.
	 * @return number of bytes, including heartbeats and handshakes
	 */
	public long bytesSent() {
		return this.links.bytesSent();
	}

	/**
	 * Returns the number of bytes received since the start.
	 * @return number of bytes, including heartbeats and handshakes
	 */
	public long bytesReceived() {
		return this.bytesReceived.sum();
	}

	/**
	 * Opens a link and reconnects it as needed until {@link #disconnect} is called.
	 * @param peer the process
	 * @param address address at which the process accepts connections
	 */
	public void connect(PeerName peer, PeerAddress address) {
		submit(() -> this.links.connect(peer, address, now()));
	}

	/**
	 * Closes a link that this process opened.
	 * @param peer the process
	 */
	public void disconnect(PeerName peer) {
		submit(() -> this.links.disconnect(peer));
	}

	/**
	 * Sends a message. It is dropped if the peer is not connected; the listener is
	 * notified when it is connected again. Blocks while the command queue is full; this
	 * wait is bounded because the link thread never blocks on a receiver.
	 * @param peer the receiver
	 * @param message the message
	 */
	public void send(PeerName peer, Message message) {
		submit(() -> this.links.send(peer, message));
	}

	/**
	 * Sends a message to one incarnation of a process. It is dropped if the peer is not
	 * connected or the connection is to another incarnation, for which the message was
	 * not meant: its link may be established before the listener is notified.
	 * @param peer the receiver
	 * @param message the message
	 */
	public void send(PeerIdentity peer, Message message) {
		submit(() -> this.links.send(peer, message));
	}

	/**
	 * Acknowledges in the following heartbeats that a heartbeat of the peer was
	 * processed. The acknowledgement is ordered after the messages sent before it, so a
	 * peer that receives the echo has received these messages.
	 * @param peer the sender of the processed heartbeat
	 * @param clockNanos clock reading of the processed heartbeat
	 */
	public void acknowledge(PeerIdentity peer, long clockNanos) {
		submit(() -> this.links.acknowledge(peer, clockNanos));
	}

	/**
	 * Sends the queued messages, then closes all links and the port.
	 */
	@Override
	public void close() {
		if (this.running.compareAndSet(true, false)) {
			this.selector.wakeup();
			try {
				this.thread.join(CLOSE_TIMEOUT_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		else {
			closeResources();
		}
	}

	private void submit(Runnable command) {
		if (Thread.currentThread() == this.thread) {
			command.run();
			return;
		}
		while (!this.commands.offer(command)) {
			if (!this.running.get()) {
				return;
			}
			LockSupport.parkNanos(QUEUE_FULL_PARK_NANOS);
		}
		wakeUp();
	}

	private void run() {
		while (this.running.get()) {
			try {
				runOnce();
			}
			catch (IOException ex) {
				this.listener.onError("selector", String.valueOf(ex.getMessage()));
			}
			catch (RuntimeException | StackOverflowError ex) {
				this.listener.onError("links", "unexpected exception: " + ex);
			}
		}
		this.commands.drain(Runnable::run, COMMAND_QUEUE_CAPACITY);
		this.links.flush(now());
		closeResources();
	}

	private void runOnce() throws IOException {
		this.commands.drain(Runnable::run, COMMAND_QUEUE_CAPACITY);
		this.links.redeliver(now());
		long hostedWaitNanos = this.hostedLoop.runOnce();
		long now = now();
		if (now - this.lastTimerRunNanos >= TIMER_INTERVAL_NANOS) {
			this.lastTimerRunNanos = now;
			this.links.runTimers(now);
		}
		this.links.flush(now);
		this.selecting.set(true);
		if (this.commands.isEmpty() && hostedWaitNanos > 0 && !this.hostedLoop.hasPendingWork()) {
			this.selector.select(selectTimeoutMillis(hostedWaitNanos));
		}
		else {
			this.selector.selectNow();
		}
		this.selecting.set(false);
		Iterator<SelectionKey> keys = this.selector.selectedKeys().iterator();
		while (keys.hasNext()) {
			SelectionKey key = keys.next();
			keys.remove();
			handle(key);
		}
	}

	private long selectTimeoutMillis(long hostedWaitNanos) {
		long limitMillis = this.links.isDeliveryPending() ? REDELIVERY_WAIT_MILLIS : IDLE_WAIT_MILLIS;
		return Math.min(limitMillis, hostedWaitNanos / NANOS_PER_MILLI + 1);
	}

	private void handle(SelectionKey key) throws IOException {
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
				connection.updateInterestOps();
			}
			if (key.isReadable()) {
				read(connection);
			}
			if (key.isValid() && key.isWritable()) {
				this.links.flush(connection, now());
			}
		}
		catch (IOException ex) {
			this.links.closeAndReport(connection, String.valueOf(ex.getMessage()));
		}
		catch (RuntimeException | StackOverflowError ex) {
			// A bug in the handling of one message closes its connection but does
			// not stop the process.
			this.links.closeAndReport(connection, "unexpected exception: " + ex);
		}
	}

	private void accept() throws IOException {
		SocketChannel channel = this.server.accept();
		if (channel != null) {
			this.links.onAccepted(channel, now());
		}
	}

	private void read(Connection connection) throws IOException {
		this.readBuffer.clear();
		int count = connection.channel().read(this.readBuffer);
		if (count < 0) {
			this.links.closeAndReport(connection, "closed by the peer");
			return;
		}
		this.bytesReceived.add(count);
		this.readBuffer.flip();
		this.links.onBytesReceived(connection, this.readBuffer, now());
	}

	private long now() {
		return this.time.now().nanos();
	}

	private void closeResources() {
		this.links.closeAll();
		try {
			this.server.close();
			this.selector.close();
		}
		catch (IOException ex) {
			this.listener.onError("selector", String.valueOf(ex.getMessage()));
		}
	}

}
