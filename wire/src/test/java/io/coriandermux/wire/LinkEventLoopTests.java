package io.coriandermux.wire;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.message.Credit;
import io.coriandermux.core.message.Demand;
import io.coriandermux.core.message.Heartbeat;
import io.coriandermux.core.message.Message;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against links that lose or reorder messages, keep a silent connection, or report
 * a live process as lost. The clock is advanced by the tests.
 */
class LinkEventLoopTests {

	private static final String HOST = "127.0.0.1";

	private static final PeerName ENTRY = new PeerName(PeerRole.ENTRY, "e1");

	private static final PeerName GUARD = new PeerName(PeerRole.GUARD, "g1");

	private final AtomicLong nanos = new AtomicLong(1);

	private final Recorder entryEvents = new Recorder();

	private final Recorder guardEvents = new Recorder();

	private final AtomicLong proxyGeneration = new AtomicLong();

	private final LinkEventLoop entry = startLoop(ENTRY, 1, "secret", this.entryEvents);

	private final LinkEventLoop guard = startLoop(GUARD, 5, "secret", this.guardEvents);

	LinkEventLoopTests() throws IOException {
	}

	@AfterTry
	void close() {
		this.entry.close();
		this.guard.close();
	}

	@Example
	void deliversMessagesInOrderBothWays() throws Exception {
		this.entry.connect(GUARD, new PeerAddress(HOST, this.guard.port()));
		this.entryEvents.expect("connected guard g1 5");
		this.guardEvents.expect("connected entry e1 1");
		for (int count = 1; count <= 5000; count++) {
			this.entry.send(GUARD, new Demand(count));
		}
		for (int count = 1; count <= 5000; count++) {
			this.guardEvents.expect(new Demand(count).toString());
		}
		this.guard.send(ENTRY, new Credit(3));
		this.entryEvents.expect(new Credit(3).toString());
	}

	// Guards against a name lookup on the thread of all links, which would stall every
	// link and session, and against endless attempts to reach an address that cannot be
	// valid.
	@Example
	void refusesAnInvalidAddressOnceAndConnectsToALaterValidOne() throws Exception {
		List<PeerAddress> invalid = List.of(new PeerAddress("guard.invalid", 7720), new PeerAddress("", 7720),
				new PeerAddress("1", 7720), new PeerAddress("10.0.0.256", 7720), new PeerAddress("0.0.0.0", 7720),
				new PeerAddress("224.0.0.1", 7720), new PeerAddress("::", 7720), new PeerAddress("1:zz", 7720),
				new PeerAddress("x".repeat(70_000), 7720), new PeerAddress(HOST, 0), new PeerAddress(HOST, -1),
				new PeerAddress(HOST, 65_536));
		for (PeerAddress address : invalid) {
			this.entry.connect(GUARD, address);
			assertThat(this.entryEvents.errors.poll(60, TimeUnit.SECONDS)).startsWith("not a valid address: ")
				.hasSizeLessThan(200);
		}
		advanceMillis(10_000);
		this.entry.connect(GUARD, new PeerAddress(HOST, this.guard.port()));
		this.entryEvents.expect("connected guard g1 5");
		assertThat(this.entryEvents.errors).isEmpty();
	}

	@Example
	void reportsAMessageThatIsDroppedWithoutALink() throws Exception {
		this.entry.send(GUARD, new Demand(1));
		assertThat(this.entryEvents.dropped.poll(60, TimeUnit.SECONDS)).isEqualTo(GUARD + " " + new Demand(1));
		this.entry.connect(GUARD, new PeerAddress(HOST, this.guard.port()));
		this.entryEvents.expect("connected guard g1 5");
		this.entry.send(GUARD, new Demand(2));
		this.guardEvents.expect("connected entry e1 1");
		this.guardEvents.expect(new Demand(2).toString());
		assertThat(this.entryEvents.dropped).isEmpty();
	}

	@Example
	void echoesAClockReadingOnlyAfterItsHeartbeatWasProcessed() throws Exception {
		this.entry.connect(GUARD, new PeerAddress(HOST, this.guard.port()));
		this.entryEvents.expect("connected guard g1 5");
		this.guardEvents.expect("connected entry e1 1");
		advanceMillis(600);
		this.entryEvents.expect("echo 0");
		this.guard.acknowledge(new PeerIdentity(ENTRY, new Incarnation(1)), 77);
		advanceMillis(600);
		this.entryEvents.expect("echo 77");
	}

	@Example
	void offersAMessageAgainThatWasNotAccepted() throws Exception {
		this.guardEvents.refusals.set(3);
		this.entry.connect(GUARD, new PeerAddress(HOST, this.guard.port()));
		this.entryEvents.expect("connected guard g1 5");
		this.entry.send(GUARD, new Demand(1));
		this.entry.send(GUARD, new Demand(2));
		this.guardEvents.expect("connected entry e1 1");
		this.guardEvents.expect(new Demand(1).toString());
		this.guardEvents.expect(new Demand(2).toString());
	}

	@Example
	void reportsAPeerLostOnlyAfterItsReconnectionFailed() throws Exception {
		this.entry.connect(GUARD, new PeerAddress(HOST, this.guard.port()));
		this.entryEvents.expect("connected guard g1 5");
		this.guard.close();
		this.entryEvents.expect("error guard g1");
		advanceMillis(2900);
		this.entryEvents.expect("error guard g1");
		assertThat(this.entryEvents.received).noneMatch((text) -> text.startsWith("lost"));
		advanceMillis(200);
		this.entryEvents.expect("lost guard g1 5");
	}

	@Example
	void replacesASilentConnection() throws Exception {
		try (ServerSocket proxy = new ServerSocket(0, 10, InetAddress.getByName(HOST))) {
			proxy.setSoTimeout(60_000);
			this.entry.connect(GUARD, new PeerAddress(HOST, proxy.getLocalPort()));
			Socket first = proxy.accept();
			Socket upstream = new Socket(HOST, this.guard.port());
			forward(first, upstream);
			forward(upstream, first);
			this.entryEvents.expect("connected guard g1 5");
			this.guardEvents.expect("connected entry e1 1");
			// The clock is paused, so no data is in transit after the first heartbeats.
			this.entryEvents.expect("echo 0");
			this.guardEvents.expect("echo 0");
			this.proxyGeneration.set(1);
			Socket second = advanceUntilAccepted(proxy);
			this.proxyGeneration.set(2);
			Socket secondUpstream = new Socket(HOST, this.guard.port());
			forward(second, secondUpstream);
			forward(secondUpstream, second);
			this.entryEvents.expect("connected guard g1 5");
			this.entry.send(GUARD, new Demand(9));
			this.guardEvents.expect("connected entry e1 1");
			this.guardEvents.expect(new Demand(9).toString());
			assertThat(this.entryEvents.received).noneMatch((text) -> text.startsWith("lost"));
		}
	}

	@Example
	void aNewIncarnationReplacesThePreviousOne() throws Exception {
		this.entry.connect(GUARD, new PeerAddress(HOST, this.guard.port()));
		this.entryEvents.expect("connected guard g1 5");
		try (LinkEventLoop restarted = startLoop(GUARD, 6, "secret", new Recorder())) {
			this.entry.connect(GUARD, new PeerAddress(HOST, restarted.port()));
			this.guard.close();
			this.entryEvents.expect("error guard g1");
			advanceMillis(300);
			this.entryEvents.expect("lost guard g1 5");
			this.entryEvents.expect("connected guard g1 6");
		}
	}

	// Guards against a request that was decided for one incarnation of a guard and is
	// carried out by the next one, which knows nothing of its predecessor.
	@Example
	void dropsAMessageForAnotherIncarnationThanTheConnectedOne() throws Exception {
		this.entry.connect(GUARD, new PeerAddress(HOST, this.guard.port()));
		this.entryEvents.expect("connected guard g1 5");
		Recorder restartedEvents = new Recorder();
		try (LinkEventLoop restarted = startLoop(GUARD, 6, "secret", restartedEvents)) {
			this.entry.connect(GUARD, new PeerAddress(HOST, restarted.port()));
			this.guard.close();
			this.entryEvents.expect("error guard g1");
			advanceMillis(300);
			restartedEvents.expect("connected entry e1 1");
			this.entry.send(new PeerIdentity(GUARD, new Incarnation(5)), new Demand(1));
			this.entry.send(new PeerIdentity(GUARD, new Incarnation(6)), new Demand(2));
			restartedEvents.expect(new Demand(2).toString());
		}
	}

	@Example
	void closesAConnectionThatSendsInvalidDataOrNothing() throws Exception {
		for (byte[] data : new byte[][] { { 0, 0, 0, 3, 1, 2, 3 }, { 127, 0, 0, 0 }, "GET / HTTP/1.1\r\n".getBytes(),
				{} }) {
			try (Socket socket = new Socket(HOST, this.guard.port())) {
				socket.getOutputStream().write(data);
				if (data.length == 0) {
					advanceWhileOpen(socket);
				}
				else {
					assertThat(socket.getInputStream().read()).isEqualTo(-1);
				}
			}
			this.guardEvents.expect("error caller");
		}
	}

	// Guards against a process that goes on without its links, because a stack overflow
	// about one message ended their thread.
	@Example
	void recoversFromAStackOverflowInTheListener() throws Exception {
		this.guardEvents.throwsErrors = true;
		recoversFromAnUnexpectedExceptionInTheListener();
	}

	@Example
	void recoversFromAnUnexpectedExceptionInTheListener() throws Exception {
		this.entry.connect(GUARD, new PeerAddress(HOST, this.guard.port()));
		this.entryEvents.expect("connected guard g1 5");
		this.guardEvents.expect("connected entry e1 1");
		this.guardEvents.exceptions.set(1);
		this.entry.send(GUARD, new Demand(1));
		this.guardEvents.expect("error entry e1");
		this.entryEvents.expect("error guard g1");
		advanceMillis(300);
		this.entryEvents.expect("connected guard g1 5");
		this.entry.send(GUARD, new Demand(2));
		this.guardEvents.expect("connected entry e1 1");
		this.guardEvents.expect(new Demand(2).toString());
	}

	@Example
	void runsAHostedLoopThatSendsOnTheLinkThread() throws Exception {
		LinkedBlockingQueue<Runnable> work = new LinkedBlockingQueue<>();
		Recorder events = new Recorder();
		try (LinkEventLoop hostLoop = startHost(work, events)) {
			this.entry.connect(new PeerName(PeerRole.GUARD, "g2"), new PeerAddress(HOST, hostLoop.port()));
			events.expect("connected entry e1 1");
			this.entryEvents.expect("connected guard g2 5");
			work.add(() -> hostLoop.send(ENTRY, new Credit(7)));
			hostLoop.wakeUp();
			this.entryEvents.expect(new Credit(7).toString());
		}
	}

	private LinkEventLoop startHost(LinkedBlockingQueue<Runnable> work, Recorder events) throws IOException {
		LinkEventLoop hostLoop = createLoop(new PeerName(PeerRole.GUARD, "g2"), 5, "secret", events);
		hostLoop.attachLoop(new HostedLoop() {

			@Override
			public long runOnce() {
				Runnable next = work.poll();
				if (next != null) {
					next.run();
				}
				return work.isEmpty() ? Long.MAX_VALUE : 0;
			}

			@Override
			public boolean hasPendingWork() {
				return !work.isEmpty();
			}

		});
		hostLoop.start();
		return hostLoop;
	}

	@Example
	void rejectsAProcessWithAnotherSecret() throws Exception {
		Recorder otherEvents = new Recorder();
		try (LinkEventLoop other = startLoop(new PeerName(PeerRole.ENTRY, "x"), 1, "other", otherEvents)) {
			other.connect(GUARD, new PeerAddress(HOST, this.guard.port()));
			otherEvents.expect("error guard g1");
			this.guardEvents.expect("error caller");
			assertThat(this.guardEvents.received).noneMatch((text) -> text.startsWith("connected"));
		}
	}

	private void advanceWhileOpen(Socket socket) throws IOException, InterruptedException {
		BlockingReader reader = new BlockingReader(socket.getInputStream());
		Thread thread = new Thread(reader);
		thread.start();
		while (thread.isAlive()) {
			advanceMillis(1600);
			thread.join(20);
		}
		assertThat(reader.result).isEqualTo(-1);
	}

	// Bytes that the proxy read before it stopped forwarding may still arrive after the
	// clock was advanced once, and then count as activity of the connection. The clock
	// therefore advances in steps until the replacement arrives.
	private Socket advanceUntilAccepted(ServerSocket proxy) throws IOException {
		proxy.setSoTimeout(20);
		for (int step = 0; step < 500; step++) {
			advanceMillis(100);
			try {
				return proxy.accept();
			}
			catch (SocketTimeoutException ex) {
				// Not replaced yet.
			}
		}
		throw new AssertionError("the silent connection was not replaced within 50 s of the paused clock");
	}

	private void advanceMillis(long millis) {
		this.nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
	}

	private void forward(Socket from, Socket to) {
		long generation = this.proxyGeneration.get();
		Thread thread = new Thread(() -> {
			byte[] buffer = new byte[4096];
			try {
				for (int count = from.getInputStream().read(buffer); count >= 0; count = from.getInputStream()
					.read(buffer)) {
					if (this.proxyGeneration.get() == generation) {
						to.getOutputStream().write(buffer, 0, count);
					}
				}
			}
			catch (IOException ex) {
				// The test closed a socket.
			}
		});
		thread.setDaemon(true);
		thread.start();
	}

	private LinkEventLoop startLoop(PeerName name, long incarnation, String secret, Recorder recorder)
			throws IOException {
		LinkEventLoop loop = createLoop(name, incarnation, secret, recorder);
		loop.start();
		return loop;
	}

	private LinkEventLoop createLoop(PeerName name, long incarnation, String secret, Recorder recorder)
			throws IOException {
		LinkContext context = new LinkContext(new PeerIdentity(name, new Incarnation(incarnation)),
				new SharedSecret(secret), LinkSettings.DEFAULTS, () -> new Moment(this.nanos.get(), 0),
				new SecureRandom(), () -> HeartbeatRevisions.NONE);
		return new LinkEventLoop(context, new PeerAddress(HOST, 0), recorder);
	}

	private static final class BlockingReader implements Runnable {

		private final InputStream in;

		private volatile int result = Integer.MIN_VALUE;

		BlockingReader(InputStream in) {
			this.in = in;
		}

		@Override
		public void run() {
			try {
				this.result = this.in.read();
			}
			catch (IOException ex) {
				this.result = -1;
			}
		}

	}

	private static final class Recorder implements LinkListener {

		private final LinkedBlockingQueue<String> events = new LinkedBlockingQueue<>();

		private final LinkedBlockingQueue<String> received = new LinkedBlockingQueue<>();

		private final LinkedBlockingQueue<String> dropped = new LinkedBlockingQueue<>();

		private final LinkedBlockingQueue<String> errors = new LinkedBlockingQueue<>();

		private final AtomicLong refusals = new AtomicLong();

		private final AtomicLong exceptions = new AtomicLong();

		private volatile boolean throwsErrors;

		@Override
		public boolean onConnected(PeerIdentity peer) {
			return add("connected " + peer.name() + " " + peer.incarnation().value());
		}

		@Override
		public boolean onLost(PeerIdentity peer) {
			return add("lost " + peer.name() + " " + peer.incarnation().value());
		}

		@Override
		public boolean onMessage(PeerIdentity peer, Message message) {
			if (!(message instanceof Heartbeat) && this.exceptions.getAndSet(0) > 0) {
				if (this.throwsErrors) {
					throw new StackOverflowError("error of this test");
				}
				throw new IllegalStateException("exception of this test");
			}
			return add((message instanceof Heartbeat heartbeat) ? "echo " + heartbeat.echoNanos() : message.toString());
		}

		@Override
		public void onError(String peer, String reason) {
			this.errors.add(reason);
			add("error " + peer);
		}

		@Override
		public void onDropped(PeerName peer, Message message) {
			this.dropped.add(peer + " " + message);
		}

		/**
		 * Waits for an event and skips errors and echoes before it.
		 */
		private void expect(String prefix) throws InterruptedException {
			while (true) {
				String next = this.events.poll(60, TimeUnit.SECONDS);
				if (next != null && !next.startsWith(prefix) && (next.startsWith("error") || next.startsWith("echo"))) {
					continue;
				}
				assertThat(next).startsWith(prefix);
				return;
			}
		}

		private boolean add(String text) {
			if (!text.startsWith("error") && this.refusals.get() > 0) {
				this.refusals.decrementAndGet();
				return false;
			}
			this.events.add(text);
			this.received.add(text);
			return true;
		}

	}

}
