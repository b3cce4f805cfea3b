package io.coriandermux.daemon.entry;

import java.io.IOException;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import com.github.f4b6a3.uuid.UuidCreator;
import io.coriandermux.core.api.CallerReply;
import io.coriandermux.core.api.CallerRequest;
import io.coriandermux.core.entry.EntryEvent;
import io.coriandermux.core.entry.EntryNode;
import io.coriandermux.core.entry.EntrySettings;
import io.coriandermux.core.entry.EntryTick;
import io.coriandermux.core.entry.ShutdownRequested;
import io.coriandermux.core.entry.TablesChanged;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.member.EntryInfo;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.queue.PoolScheduler;
import io.coriandermux.core.queue.SchedulerSettings;
import io.coriandermux.daemon.http.CallerGateway;
import io.coriandermux.daemon.http.CallersHandler;
import io.coriandermux.daemon.http.HttpPort;
import io.coriandermux.daemon.http.HttpPortOptions;
import io.coriandermux.daemon.http.OperatorService;
import io.coriandermux.daemon.http.OperatorsHandler;
import io.coriandermux.daemon.http.OwnerKeys;
import io.coriandermux.daemon.log.LogEvent;
import io.coriandermux.daemon.log.RecentEvent;
import io.coriandermux.daemon.run.DecisionLoop;
import io.coriandermux.daemon.run.ProcessContext;
import io.coriandermux.daemon.run.Shell;
import io.coriandermux.daemon.settings.EntryProcessSettings;
import io.coriandermux.store.StoreException;
import io.coriandermux.version.ProgramVersion;
import io.coriandermux.wire.HeartbeatRevisions;
import io.coriandermux.wire.LinkEventLoop;
import io.coriandermux.wire.LinkListener;
import io.coriandermux.wire.PeerIdentity;
import io.coriandermux.wire.PeerRole;
import io.coriandermux.wire.TimeSource;

/**
 * Shell of an entry process. It connects the state machine of the entry with the links,
 * the platform store and the HTTP ports.
 */
public final class EntryShell implements Shell {

	private static final int CALLERS_PORT_THREADS = 2;

	private static final long DRAIN_POLL_INTERVAL_MILLIS = 20;

	private static final long MAX_OPERATORS_BODY_BYTES = 1024;

	private final EntryProcessSettings settings;

	private final ProcessContext context;

	private final DecisionLoop loop;

	private final LinkEventLoop links;

	private final EntryStore store;

	private final ActiveConfig config;

	private final EntryNodeRunner nodeRunner;

	private final EntryPeers peers;

	private final HttpPort callers;

	private final HttpPort operators;

	private final AtomicLong lastReference = new AtomicLong();

	private final AtomicBoolean draining = new AtomicBoolean();

	private final CountDownLatch drainRequested = new CountDownLatch(1);

	/**
	 * Binds the ports and starts the process.
	 * @param settings the settings
	 * @param time the clock of the process
	 * @throws IOException if a port cannot be bound
	 * @throws StoreException if the client of the store cannot start
	 */
	public EntryShell(EntryProcessSettings settings, TimeSource time) throws IOException, StoreException {
		this.settings = settings;
		this.context = ProcessContext.create(settings.process(), time);
		this.loop = new DecisionLoop("decisions", DecisionLoop.NO_AFTER_BATCH_ACTION, this::tick, time,
				this.context.log(), this.drainRequested::countDown);
		this.config = new ActiveConfig((tables) -> put(new TablesChanged(tables)), this.context.log());
		this.links = this.context.bindLinks(PeerRole.ENTRY, this::revisions, new PeerListener());
		EntryInfo self = new EntryInfo(new EntryId(settings.process().id()), this.context.incarnation(),
				settings.process().address(), this.links.port(), settings.process().zone());
		this.store = new EntryStore(this.context, self, this.config, new StoreListener());
		EntryNode node = new EntryNode(
				new EntrySettings(self, EntrySettings.DEFAULT_RETENTION_MILLIS, settings.maxJobs(),
						settings.answerBytes()),
				new PoolScheduler(SchedulerSettings.of(self.zone())),
				() -> UuidCreator.getTimeOrderedEpoch(Instant.ofEpochMilli(time.now().epochMillis())).toString());
		this.nodeRunner = new EntryNodeRunner(this.context, node, this.links, this.store);
		this.peers = new EntryPeers(this.context, this.links, this.store, this.config, this.nodeRunner,
				settings.guardLinks());
		registerGauges();
		this.loop.start();
		this.links.start();
		this.store.start();
		this.callers = HttpPort.open(settings.process().address(), settings.callersPort(),
				new HttpPortOptions(CALLERS_PORT_THREADS, settings.process().connections(), settings.bodyBytes()),
				new CallersHandler(new Gateway(), new OwnerKeys(settings.owners()), settings.bodyMillis(), time,
						this.context.log(), this.context.metrics()));
		this.operators = HttpPort.open(settings.process().address(), settings.process().operatorsPort(),
				new HttpPortOptions(1, settings.process().connections(), MAX_OPERATORS_BODY_BYTES),
				new OperatorsHandler(new Operators()));
		this.context.log()
			.record(LogEvent.STARTED, "entry " + settings.process().id(),
					"callers at port " + this.callers.port() + ", operators at port " + this.operators.port()
							+ ", links at port " + this.links.port() + ", version " + ProgramVersion.current());
	}

	/**
	 * Returns the port for callers.
	 * @return the port
	 */
	public int callersPort() {
		return this.callers.port();
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
		this.context.log()
			.record(LogEvent.SHUTDOWN_STARTED, this.settings.process().id(), "work in progress continues");
		put(new ShutdownRequested());
		boolean finished = awaitFinished();
		try {
			finished &= this.callers.drain(this.settings.process().drainMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			finished = false;
		}
		if (!finished) {
			this.context.log()
				.record(LogEvent.SHUTDOWN_OVERDUE, this.settings.process().id(),
						"the drain limit of " + this.settings.process().drainMillis() + " ms expired");
		}
		return finished;
	}

	@Override
	public void close() {
		this.callers.close();
		this.store.close();
		this.loop.close();
		this.links.close();
		this.operators.close();
		this.context.log().record(LogEvent.STOPPED, this.settings.process().id(), "all ports are closed");
	}

	private boolean awaitFinished() {
		long deadlineNanos = this.context.time().now().nanos()
				+ TimeUnit.MILLISECONDS.toNanos(this.settings.process().drainMillis());
		while (this.context.time().now().nanos() < deadlineNanos) {
			CountDownLatch checked = new CountDownLatch(1);
			AtomicBoolean finished = new AtomicBoolean();
			this.loop.put(() -> {
				finished.set(this.nodeRunner.node().status(this.context.time().now()).shutdownFinished()
						&& this.nodeRunner.pendingReplyCount() == 0);
				checked.countDown();
			});
			try {
				if (checked.await(DRAIN_POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS) && finished.get()) {
					return true;
				}
				new CountDownLatch(1).await(DRAIN_POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return false;
			}
		}
		return false;
	}

	private void tick() {
		this.nodeRunner.handle(new EntryTick());
	}

	private void put(EntryEvent event) {
		this.loop.put(() -> this.nodeRunner.handle(event));
	}

	private HeartbeatRevisions revisions() {
		return new HeartbeatRevisions(this.config.current().revision(), this.nodeRunner.homes().revision());
	}

	private void registerGauges() {
		this.context.metrics().registerGauge("decisions.depth", this.loop::depth);
		this.context.metrics().registerGauge("links.bytes.sent", this.links::bytesSent);
		this.context.metrics().registerGauge("links.bytes.received", this.links::bytesReceived);
		this.context.metrics().registerGauge("store.available", () -> this.context.health().isAvailable() ? 1 : 0);
		this.context.metrics().registerGauge("config.revision", () -> this.config.current().revision().value());
		this.context.metrics().registerGauge("homes.revision", () -> this.nodeRunner.homes().revision().value());
	}

	private final class PeerListener implements LinkListener {

		@Override
		public boolean onConnected(PeerIdentity peer) {
			return EntryShell.this.loop.offer(() -> EntryShell.this.peers.onConnected(peer));
		}

		@Override
		public boolean onLost(PeerIdentity peer) {
			return EntryShell.this.loop.offer(() -> EntryShell.this.peers.onLost(peer));
		}

		@Override
		public boolean onMessage(PeerIdentity peer, Message message) {
			return EntryShell.this.loop.offer(() -> EntryShell.this.peers.onMessage(peer, message));
		}

		@Override
		public void onError(String peer, String reason) {
			EntryShell.this.context.log().record(LogEvent.LINK_FAULT, peer, reason);
		}

	}

	private final class StoreListener implements EntryStoreListener {

		@Override
		public void onEvent(EntryEvent event) {
			put(event);
		}

		@Override
		public void onEntriesListed(List<EntryInfo> entries) {
			EntryShell.this.loop.put(() -> EntryShell.this.peers.onEntriesListed(entries));
		}

		@Override
		public void onGuardsListed(List<GuardInfo> guards, long request) {
			EntryShell.this.loop.put(() -> EntryShell.this.peers.onGuardsListed(guards, request));
		}

	}

	private final class Gateway implements CallerGateway {

		@Override
		public boolean enqueue(CallerRequest request, Consumer<CallerReply> receiver) {
			long reference = EntryShell.this.lastReference.incrementAndGet();
			return EntryShell.this.loop
				.offer(() -> EntryShell.this.nodeRunner.handleRequest(reference, request, receiver));
		}

	}

	private final class Operators implements OperatorService {

		@Override
		public boolean status(Consumer<Object> receiver) {
			return EntryShell.this.loop.offer(() -> receiver
				.accept(EntryShell.this.nodeRunner.node().status(EntryShell.this.context.time().now())));
		}

		@Override
		public boolean explain(OwnerId owner, String job, Consumer<Optional<Object>> receiver) {
			return EntryShell.this.loop.offer(() -> receiver
				.accept(EntryShell.this.nodeRunner.node().explain(new JobKey(owner, job)).map(JobView::of)));
		}

		@Override
		public boolean failures(OwnerId owner, Consumer<Object> receiver) {
			return EntryShell.this.loop
				.offer(() -> receiver.accept(List.copyOf(EntryShell.this.nodeRunner.node().failures(owner))));
		}

		@Override
		public List<RecentEvent> events() {
			return EntryShell.this.context.log().recentEvents();
		}

		@Override
		public MetricRegistry metrics() {
			return EntryShell.this.context.metrics().registry();
		}

		@Override
		public void drain() {
			requestDrain();
		}

	}

}
