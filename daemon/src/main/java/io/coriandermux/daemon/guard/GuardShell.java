package io.coriandermux.daemon.guard;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import io.coriandermux.core.guard.DrainRequested;
import io.coriandermux.core.guard.GuardHomesRead;
import io.coriandermux.core.guard.GuardNode;
import io.coriandermux.core.guard.GuardSettings;
import io.coriandermux.core.guard.GuardTick;
import io.coriandermux.core.home.HomeTable;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.slot.SharedSlotAllocator;
import io.coriandermux.core.slot.SlotSettings;
import io.coriandermux.daemon.http.HttpPort;
import io.coriandermux.daemon.http.HttpPortOptions;
import io.coriandermux.daemon.http.OperatorService;
import io.coriandermux.daemon.http.OperatorsHandler;
import io.coriandermux.daemon.log.LogEvent;
import io.coriandermux.daemon.log.RecentEvent;
import io.coriandermux.daemon.run.Announcer;
import io.coriandermux.daemon.run.DecisionLoop;
import io.coriandermux.daemon.run.MalformedValueException;
import io.coriandermux.daemon.run.ProcessContext;
import io.coriandermux.daemon.run.Shell;
import io.coriandermux.daemon.run.StoreValues;
import io.coriandermux.daemon.settings.GuardProcessSettings;
import io.coriandermux.daemon.settings.ProcessSettings;
import io.coriandermux.store.KvEntry;
import io.coriandermux.store.StoreClient;
import io.coriandermux.store.StoreException;
import io.coriandermux.version.ProgramVersion;
import io.coriandermux.wire.HeartbeatRevisions;
import io.coriandermux.wire.LinkEventLoop;
import io.coriandermux.wire.LinkListener;
import io.coriandermux.wire.PeerIdentity;
import io.coriandermux.wire.PeerRole;
import io.coriandermux.wire.TimeSource;

/**
 * Shell of a guard process. It connects the state machine of the guard with the links,
 * the platform store, the endpoint and the operators' port.
 */
public final class GuardShell implements Shell {

	private static final long ANNOUNCEMENT_TTL_MILLIS = 3_600_000;

	private static final long RETENTION_MILLIS = 120_000;

	private static final long HOMES_RETRY_DELAY_MILLIS = 500;

	private static final long MAX_OPERATORS_BODY_BYTES = 1024;

	private final GuardProcessSettings settings;

	private final ProcessContext context;

	private final DecisionLoop loop;

	private final LinkEventLoop links;

	private final StoreClient store;

	private final Announcer announcer;

	private final EndpointClient endpoint;

	private final GuardNodeRunner nodeRunner;

	private final HttpPort operators;

	private final AtomicBoolean draining = new AtomicBoolean();

	private final CountDownLatch drainRequested = new CountDownLatch(1);

	private final CountDownLatch drained = new CountDownLatch(1);

	private final CountDownLatch closed = new CountDownLatch(1);

	/**
	 * Binds the ports and starts the process.
	 * @param settings the settings
	 * @param time the clock of the process
	 * @throws IOException if a port cannot be bound
	 * @throws StoreException if the client of the store cannot start
	 */
	public GuardShell(GuardProcessSettings settings, TimeSource time) throws IOException, StoreException {
		this.settings = settings;
		ProcessSettings process = settings.process();
		this.context = ProcessContext.create(process, time);
		this.loop = new DecisionLoop("decisions", DecisionLoop.NO_AFTER_BATCH_ACTION, this::tick, time,
				this.context.log(), this.drainRequested::countDown);
		this.links = this.context.bindLinks(PeerRole.GUARD, () -> HeartbeatRevisions.NONE, new PeerListener());
		GuardInfo self = new GuardInfo(new GuardId(process.id()), this.context.incarnation(), process.address(),
				this.links.port(), process.zone(), process.rack(), settings.endpoint(), settings.slots(),
				settings.capacity());
		this.endpoint = new EndpointClient(settings.url(), time);
		GuardNode node = new GuardNode(
				new GuardSettings(self, RETENTION_MILLIS, settings.ledgerBytes(), time.now().epochMillis()),
				new SharedSlotAllocator(settings.slots(), SlotSettings.defaults()));
		this.nodeRunner = new GuardNodeRunner(this.context, node, this.links, this.endpoint, this.loop,
				this.drained::countDown);
		this.store = this.context.createStoreClient();
		this.announcer = new Announcer(this.store, StoreValues.encode(self), ANNOUNCEMENT_TTL_MILLIS, (earlier) -> {
		}, this::readHomes, this.context.log(), this.context.health());
		registerGauges();
		this.loop.start();
		this.links.start();
		this.announcer.start();
		this.operators = HttpPort.open(process.address(), process.operatorsPort(),
				new HttpPortOptions(1, process.connections(), MAX_OPERATORS_BODY_BYTES),
				new OperatorsHandler(new Operators()));
		this.context.log()
			.record(LogEvent.STARTED, "guard " + process.id(), "operators at port " + this.operators.port()
					+ ", links at port " + this.links.port() + ", version " + ProgramVersion.current());
	}

	@Override
	public int peerPort() {
		return this.links.port();
	}

	@Override
	public int operatorsPort() {
		return this.operators.port();
	}

	@Override
	public void awaitDrainRequestOrFailure() throws InterruptedException {
		this.drainRequested.await();
	}

	@Override
	public boolean hasFailed() {
		return this.loop.hasFailed();
	}

	@Override
	public void requestDrain() {
		this.drainRequested.countDown();
	}

	@Override
	public boolean drain() {
		if (!this.draining.compareAndSet(false, true)) {
			return true;
		}
		long limitMillis = this.settings.process().drainMillis();
		this.context.log()
			.record(LogEvent.SHUTDOWN_STARTED, this.settings.process().id(), "work in progress continues");
		this.loop.put(() -> this.nodeRunner.handle(new DrainRequested(limitMillis)));
		boolean finished = await(this.drained, limitMillis);
		if (!finished) {
			this.context.log()
				.record(LogEvent.SHUTDOWN_OVERDUE, this.settings.process().id(),
						"the drain limit of " + limitMillis + " ms expired");
		}
		return finished;
	}

	@Override
	public void close() {
		this.closed.countDown();
		this.announcer.close();
		this.loop.close();
		this.links.close();
		this.endpoint.close();
		this.store.close();
		this.operators.close();
		this.context.log().record(LogEvent.STOPPED, this.settings.process().id(), "all ports are closed");
	}

	private void tick() {
		this.nodeRunner.handle(new GuardTick());
	}

	/**
	 * Reads the home table after the announcement was written, and again after an expired
	 * announcement was written anew, because a take-over in between did not include this
	 * guard.
	 */
	private void readHomes() {
		while (this.closed.getCount() > 0) {
			try {
				Optional<KvEntry> entry = this.store.readPrefix(StoreValues.HOMES).entry(StoreValues.HOMES);
				HomeTable homes = entry.isPresent() ? StoreValues.decodeHomes(entry.get()) : HomeTable.EMPTY;
				this.context.health().onResponse();
				this.loop.put(() -> this.nodeRunner.handle(new GuardHomesRead(homes)));
				return;
			}
			catch (StoreException ex) {
				this.context.health().onCallFailed(ex);
			}
			catch (MalformedValueException ex) {
				this.context.log().record(LogEvent.VALUE_MALFORMED, StoreValues.HOMES, ex.getMessage());
			}
			await(this.closed, HOMES_RETRY_DELAY_MILLIS);
		}
	}

	private static boolean await(CountDownLatch latch, long millis) {
		try {
			return latch.await(millis, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	private void registerGauges() {
		this.context.metrics().registerGauge("decisions.depth", this.loop::depth);
		this.context.metrics().registerGauge("links.bytes.sent", this.links::bytesSent);
		this.context.metrics().registerGauge("links.bytes.received", this.links::bytesReceived);
		this.context.metrics().registerGauge("store.available", () -> this.context.health().isAvailable() ? 1 : 0);
	}

	private final class PeerListener implements LinkListener {

		@Override
		public boolean onConnected(PeerIdentity peer) {
			return GuardShell.this.loop.offer(() -> GuardShell.this.nodeRunner.onConnected(peer));
		}

		@Override
		public boolean onLost(PeerIdentity peer) {
			return GuardShell.this.loop.offer(() -> GuardShell.this.nodeRunner.onLost(peer));
		}

		@Override
		public boolean onMessage(PeerIdentity peer, Message message) {
			return GuardShell.this.loop.offer(() -> GuardShell.this.nodeRunner.onMessage(peer, message));
		}

		@Override
		public void onError(String peer, String reason) {
			GuardShell.this.context.log().record(LogEvent.LINK_FAULT, peer, reason);
		}

	}

	private final class Operators implements OperatorService {

		@Override
		public boolean status(Consumer<Object> receiver) {
			return GuardShell.this.loop.offer(() -> receiver.accept(GuardShell.this.nodeRunner.node().status()));
		}

		@Override
		public boolean explain(OwnerId owner, String job, Consumer<Optional<Object>> receiver) {
			return GuardShell.this.loop.offer(() -> receiver.accept(Optional.empty()));
		}

		@Override
		public boolean failures(OwnerId owner, Consumer<Object> receiver) {
			return GuardShell.this.loop.offer(() -> receiver.accept(List.of()));
		}

		@Override
		public List<RecentEvent> events() {
			return GuardShell.this.context.log().recentEvents();
		}

		@Override
		public MetricRegistry metrics() {
			return GuardShell.this.context.metrics().registry();
		}

		@Override
		public void drain() {
			requestDrain();
		}

	}

}
