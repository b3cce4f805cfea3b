package io.coriandermux.daemon.batch;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.coriandermux.core.dispatch.BatchAnswer;
import io.coriandermux.core.dispatch.BatchDispatcher;
import io.coriandermux.core.dispatch.BatchRequest;
import io.coriandermux.core.dispatch.BatchRouteTable;
import io.coriandermux.core.dispatch.BatchVerdict;
import io.coriandermux.core.dispatch.CallerRef;
import io.coriandermux.core.dispatch.DispatchChannels;
import io.coriandermux.core.dispatch.DispatchSettings;
import io.coriandermux.core.dispatch.DispatchStatus;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.message.ClaimAnswer;
import io.coriandermux.core.message.ClaimBatch;
import io.coriandermux.core.message.Heartbeat;
import io.coriandermux.core.message.HeldBatches;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.ReleaseBatch;
import io.coriandermux.core.message.SessionPing;
import io.coriandermux.core.message.TablesOffer;
import io.coriandermux.core.message.TablesPull;
import io.coriandermux.core.message.TablesPush;
import io.coriandermux.core.message.TakeOverAnswer;
import io.coriandermux.core.message.TakeOverBatch;
import io.coriandermux.core.run.BatchId;
import io.coriandermux.daemon.log.LogEvent;
import io.coriandermux.daemon.run.DecisionLoop;
import io.coriandermux.daemon.run.MalformedValueException;
import io.coriandermux.daemon.run.ProcessContext;
import io.coriandermux.daemon.run.Shell;
import io.coriandermux.daemon.run.StoreWatch;
import io.coriandermux.daemon.run.Worker;
import io.coriandermux.daemon.settings.BatchEntrySettings;
import io.coriandermux.store.KvSnapshot;
import io.coriandermux.store.Store;
import io.coriandermux.wire.LinkEventLoop;
import io.coriandermux.wire.LinkListener;
import io.coriandermux.wire.PeerIdentity;
import io.coriandermux.wire.PeerName;
import io.coriandermux.wire.PeerRole;
import io.coriandermux.wire.TimeSource;

/**
 * An entry process that serves batches.
 */
public final class BatchEntryShell implements Shell {

	private final BatchProcess process;

	private final ProcessContext context;

	private final ConfigSource config;

	private final DecisionLoop loop;

	private final LinkEventLoop links;

	private final BatchDispatcher dispatcher;

	private final StoreWatch configWatch;

	private final StoreWatch memberWatch;

	private final AtomicLong callerSequence = new AtomicLong();

	/** Answer receivers of the waiting callers. Used by the decision thread only. */
	private final Map<CallerRef, Consumer<BatchAnswer>> receivers = new LinkedHashMap<>();

	/** Peers to which this process opens the link. Used by the decision thread only. */
	private final Set<PeerName> outboundPeers = new LinkedHashSet<>();

	/** Peers whose link is established. Used by the decision thread only. */
	private final ConnectedPeers connectedPeers;

	private final AnnouncementReader announcements;

	private final TablesExchange exchange;

	private final HandoverPeers handoverPeers = new HandoverPeers(this::onHandoverPeerConnected);

	private final ClaimPeers claimPeers;

	private final ClaimEntries claimEntries;

	/**
	 * Parses the documents that other entries send, because parsing would block the
	 * decision thread for too long.
	 */
	private final Worker documentParser;

	private final SessionConfirmations confirmations = new SessionConfirmations(this::checkCallers, this::confirm);

	private volatile CallerCheck callerCheck = Runnable::run;

	private volatile boolean ready;

	private volatile boolean configured;

	/**
	 * Binds the ports and starts the process.
	 * @param settings the settings
	 * @param time the clock of the process
	 * @param store the store; closed by the caller
	 * @param config key and parser of the configuration
	 * @throws IOException if a port cannot be bound
	 */
	public BatchEntryShell(BatchEntrySettings settings, TimeSource time, Store store, ConfigSource config)
			throws IOException {
		this.config = config;
		this.process = new BatchProcess(PeerRole.ENTRY, settings.process(), time, store,
				new BatchProcess.EventHandlers(this::placeTasks, this::tick, new Listener(), (previous) -> {
				}));
		this.context = this.process.context();
		this.announcements = new AnnouncementReader(this.context.log(), this.context.metrics());
		this.documentParser = new Worker("tables", this.context.health());
		this.loop = this.process.loop();
		this.links = this.process.links();
		this.connectedPeers = new ConnectedPeers(this.links::send);
		this.exchange = new TablesExchange(new PeerName(PeerRole.ENTRY, this.process.id()), this.links::send);
		this.dispatcher = new BatchDispatcher(
				new EntryIncarnation(new EntryId(this.process.id()), this.context.incarnation()),
				DispatchSettings.defaults(), settings.remoteFactor(),
				new DispatchChannels(this::deliverAnswer, this::sendToGuard, this::sendToEntry, this.process::record),
				time.now());
		this.claimEntries = new ClaimEntries(new PeerName(PeerRole.ENTRY, this.process.id()));
		this.claimPeers = new ClaimPeers(this::sendClaim, this.process::onDropped,
				(guards) -> this.dispatcher.onGuardsListed(guards, this.process.now()));
		this.process.start(() -> this.dispatcher.status(this.process.now()));
		this.configWatch = new StoreWatch(store, config.key(), BatchIntervals.CONFIG_WATCH_TIMEOUT_MILLIS,
				this::onConfigChanged, () -> {
				}, this.context.health());
		this.memberWatch = new StoreWatch(store, AnnouncementFormat.PREFIX, BatchIntervals.MEMBERS_WATCH_TIMEOUT_MILLIS,
				this::onMembersChanged, () -> {
				}, this.context.health());
	}

	/**
	 * Returns the context that the components of the process share.
	 * @return the context
	 */
	public ProcessContext context() {
		return this.context;
	}

	/**
	 * Returns the gateway for callers' requests.
	 * @return the gateway
	 */
	public BatchGateway gateway() {
		return new Gateway();
	}

	@Override
	public int peerPort() {
		return this.links.port();
	}

	@Override
	public int operatorsPort() {
		return this.process.operatorsPort();
	}

	@Override
	public void awaitDrainRequestOrFailure() throws InterruptedException {
		this.process.awaitShutdownOrFailure();
	}

	@Override
	public boolean hasFailed() {
		return this.loop.hasFailed();
	}

	@Override
	public void requestDrain() {
		this.process.requestShutdown("a signal");
	}

	@Override
	public void reload() {
		this.process.reload();
	}

	@Override
	public boolean drain() {
		this.ready = false;
		return this.process.shutDown((limitMillis) -> this.dispatcher.beginShutdown(limitMillis, this.process.now()),
				() -> this.dispatcher.closeIfIdle(this.process.now()),
				() -> this.dispatcher.abortBatches(this.process.now()));
	}

	@Override
	public void close() {
		this.configWatch.close();
		this.memberWatch.close();
		this.documentParser.close();
		this.process.close();
	}

	private void placeTasks() {
		this.dispatcher.placeIfDue(this.process.now());
	}

	private void tick() {
		this.claimPeers.tick(this.process.now().nanos());
		this.dispatcher.tick(this.process.now());
		this.exchange.tick(this.process.now().nanos());
		DispatchStatus status = this.dispatcher.status(this.process.now());
		this.ready = status.version() > 0 && status.accepting() > 0 && !this.process.isShuttingDown();
	}

	private void deliverAnswer(CallerRef caller, BatchAnswer answer) {
		Consumer<BatchAnswer> receiver = this.receivers.remove(caller);
		if (receiver != null) {
			this.context.metrics().count("batches." + answer.verdict().name().toLowerCase(Locale.ROOT));
			receiver.accept(answer);
		}
	}

	private void onConfigChanged(KvSnapshot snapshot) {
		snapshot.entry(this.config.key()).ifPresent((entry) -> applyConfig(entry.value()));
	}

	private void applyConfig(String document) {
		try {
			BatchRouteTable routeTable = this.config.reader().read(document);
			this.loop.put(() -> {
				if (this.dispatcher.applyRoutes(routeTable)) {
					this.configured = true;
					this.exchange.onTablesApplied(
							new TablesPush(routeTable.version(), document.getBytes(StandardCharsets.UTF_8)),
							this.connectedPeers.entries());
				}
			});
		}
		catch (MalformedValueException ex) {
			this.context.log().record(LogEvent.TABLES_REFUSED, this.config.key(), ex.getMessage());
		}
	}

	private void onMembersChanged(KvSnapshot snapshot) {
		Map<PeerName, Member> members = this.announcements.read(snapshot);
		this.loop.put(() -> updateLinks(members));
	}

	private void updateLinks(Map<PeerName, Member> members) {
		this.handoverPeers.onMembers(members.values());
		this.claimPeers.onMembers(members.values());
		this.claimEntries.onMembers(members.values());
		listEntries();
		members.forEach((name, member) -> {
			// Of two entries, the one with the lower id opens the link, so that there
			// is only one link between them.
			boolean isInitiator = name.role() == PeerRole.GUARD || this.process.id().compareTo(name.id()) < 0;
			if (isInitiator) {
				this.outboundPeers.add(name);
				this.links.connect(name, member.address());
			}
		});
		// An announcement may expire while the store is unavailable, so a peer whose link
		// is established stays connected.
		List<PeerName> expired = this.outboundPeers.stream()
			.filter((name) -> !members.containsKey(name) && !this.connectedPeers.contains(name))
			.toList();
		expired.forEach((name) -> {
			this.outboundPeers.remove(name);
			this.links.disconnect(name);
		});
	}

	private void listEntries() {
		this.dispatcher.onEntriesListed(this.claimEntries.listed(this.connectedPeers.entries()), this.process.now());
	}

	private void onPeerConnected(PeerIdentity peer) {
		this.connectedPeers.onConnected(peer);
		this.context.log()
			.record(LogEvent.LINK_UP, peer.name().toString(), "incarnation " + peer.incarnation().value());
		if (peer.name().role() == PeerRole.GUARD) {
			this.claimPeers.onConnected(peer, this.process.now().nanos());
			this.dispatcher.onGuardConnected(new GuardId(peer.name().id()), peer.incarnation());
		}
		else {
			this.exchange.onEntryConnected(peer.name());
			this.handoverPeers.onConnected(peer);
		}
	}

	private void onHandoverPeerConnected(PeerIdentity peer) {
		this.dispatcher.onEntryConnected(new EntryId(peer.name().id()), peer.incarnation(), this.process.now());
	}

	private void sendToEntry(EntryId entry, Message message) {
		PeerName peer = new PeerName(PeerRole.ENTRY, entry.value());
		if (message instanceof ClaimBatch && !this.claimEntries.knowsClaims(peer)) {
			this.process.onDropped(peer, message);
			return;
		}
		this.context.metrics().count("messages.sent." + message.getClass().getSimpleName());
		this.connectedPeers.send(peer, message);
	}

	private void sendToGuard(GuardId guard, Message message) {
		PeerName peer = new PeerName(PeerRole.GUARD, guard.value());
		if (message instanceof ClaimBatch || message instanceof TakeOverBatch) {
			this.claimPeers.send(peer, message);
		}
		else {
			this.connectedPeers.send(peer, message);
		}
	}

	private void sendClaim(PeerName guard, Message message) {
		this.context.metrics().count("messages.sent." + message.getClass().getSimpleName());
		this.connectedPeers.send(guard, message);
	}

	private void onPeerLost(PeerIdentity peer) {
		this.connectedPeers.onLost(peer);
		this.context.log()
			.record(LogEvent.PEER_LOST, peer.name().toString(), "incarnation " + peer.incarnation().value());
		if (peer.name().role() == PeerRole.GUARD) {
			this.dispatcher.onGuardLost(new GuardId(peer.name().id()), peer.incarnation(), this.process.now());
			this.claimPeers.onLost(peer);
		}
		else {
			this.exchange.onEntryLost(peer.name());
			this.handoverPeers.onLost(peer);
			this.dispatcher.onEntryLost(new EntryId(peer.name().id()), peer.incarnation(), this.process.now());
			listEntries();
		}
	}

	private void onPeerMessage(PeerIdentity peer, Message message) {
		if (message instanceof TablesPush push) {
			String document = new String(push.document(), StandardCharsets.UTF_8);
			if (!this.documentParser.offer(() -> applyConfig(document))) {
				this.context.log()
					.record(LogEvent.TABLES_REFUSED, this.config.key(), "the queue of documents to parse is full");
			}
		}
		else if (message instanceof TablesOffer offer) {
			this.exchange.onOffer(peer.name(), offer.version(), this.process.now().nanos());
		}
		else if (message instanceof TablesPull pull) {
			this.exchange.onPull(peer.name(), pull.version());
		}
		else if (message instanceof SessionPing ping) {
			this.confirmations.onPing(peer, ping, !this.receivers.isEmpty(), this.process.now().nanos());
		}
		else if (peer.name().role() == PeerRole.GUARD) {
			if (message instanceof ClaimAnswer || message instanceof TakeOverAnswer) {
				this.context.metrics().count("messages.received." + message.getClass().getSimpleName());
			}
			this.dispatcher.onMessage(new GuardId(peer.name().id()), peer.incarnation(), message, this.process.now());
		}
		else if (message instanceof HeldBatches || message instanceof ReleaseBatch || message instanceof ClaimBatch
				|| message instanceof ClaimAnswer) {
			this.context.metrics().count("messages.received." + message.getClass().getSimpleName());
			this.handoverPeers.onMessage(peer);
			this.dispatcher.onEntryMessage(new EntryId(peer.name().id()), peer.incarnation(), message,
					this.process.now());
		}
	}

	private void checkCallers(Runnable onChecked) {
		Thread decisionThread = Thread.currentThread();
		this.callerCheck.check(() -> {
			if (Thread.currentThread() == decisionThread) {
				onChecked.run();
			}
			else {
				this.loop.put(onChecked);
			}
		});
	}

	private void confirm(PeerIdentity guard, SessionPing ping) {
		this.dispatcher.onMessage(new GuardId(guard.name().id()), guard.incarnation(), ping, this.process.now());
	}

	private final class Gateway implements BatchGateway {

		@Override
		public Optional<CallerRef> submit(String host, String path, BatchRequest request,
				Consumer<BatchAnswer> receiver) {
			CallerRef caller = new CallerRef(BatchEntryShell.this.callerSequence.incrementAndGet());
			long startedNanos = BatchEntryShell.this.process.now().nanos();
			boolean accepted = BatchEntryShell.this.loop.offer(() -> {
				BatchEntryShell.this.receivers.put(caller, (answer) -> {
					BatchEntryShell.this.context.metrics()
						.recordDuration("batches.time", BatchEntryShell.this.process.now().nanos() - startedNanos);
					receiver.accept(answer);
				});
				Moment now = BatchEntryShell.this.process.now();
				long queuedMillis = TimeUnit.NANOSECONDS.toMillis(now.nanos() - startedNanos);
				BatchEntryShell.this.dispatcher.submit(caller, host, path,
						request.withAge(request.ageMillis() + queuedMillis), now);
			});
			return accepted ? Optional.of(caller) : Optional.empty();
		}

		@Override
		public void checkCallersWith(CallerCheck check) {
			BatchEntryShell.this.callerCheck = check;
		}

		@Override
		public void onCallerDisconnected(CallerRef caller) {
			BatchEntryShell.this.loop.put(() -> {
				if (BatchEntryShell.this.receivers.remove(caller) != null) {
					BatchEntryShell.this.dispatcher.onCallerDisconnected(caller, BatchEntryShell.this.process.now());
				}
			});
		}

		@Override
		public boolean queryState(BatchId id, Consumer<BatchVerdict> receiver) {
			return BatchEntryShell.this.loop.offer(() -> receiver.accept(BatchEntryShell.this.dispatcher.state(id)));
		}

		@Override
		public boolean cancel(BatchId id, Consumer<BatchVerdict> receiver) {
			return BatchEntryShell.this.loop.offer(() -> receiver
				.accept(BatchEntryShell.this.dispatcher.cancel(id, BatchEntryShell.this.process.now())));
		}

		@Override
		public boolean countUnstarted(String host, String path, Consumer<Optional<Integer>> receiver) {
			return BatchEntryShell.this.loop
				.offer(() -> receiver.accept(BatchEntryShell.this.dispatcher.countUnstarted(host, path)));
		}

		@Override
		public boolean isConfigured() {
			return BatchEntryShell.this.configured;
		}

		@Override
		public boolean isReady() {
			return BatchEntryShell.this.ready;
		}

		@Override
		public boolean isDraining() {
			return BatchEntryShell.this.process.isShuttingDown();
		}

	}

	private final class Listener implements LinkListener {

		@Override
		public boolean onConnected(PeerIdentity peer) {
			return BatchEntryShell.this.loop.offer(() -> BatchEntryShell.this.onPeerConnected(peer));
		}

		@Override
		public boolean onLost(PeerIdentity peer) {
			return BatchEntryShell.this.loop.offer(() -> BatchEntryShell.this.onPeerLost(peer));
		}

		@Override
		public boolean onMessage(PeerIdentity peer, Message message) {
			if (message instanceof Heartbeat heartbeat) {
				BatchEntryShell.this.links.acknowledge(peer, heartbeat.clockNanos());
				return true;
			}
			return BatchEntryShell.this.loop.offer(() -> BatchEntryShell.this.onPeerMessage(peer, message));
		}

		@Override
		public void onError(String peer, String reason) {
			BatchEntryShell.this.context.log().record(LogEvent.LINK_FAULT, peer, reason);
		}

		@Override
		public void onDropped(PeerName peer, Message message) {
			BatchEntryShell.this.process.onDropped(peer, message);
		}

	}

}
