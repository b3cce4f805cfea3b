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
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.coriandermux.core.dispatch.BatchAnswer;
import io.coriandermux.core.dispatch.BatchDispatcher;
import io.coriandermux.core.dispatch.BatchRequest;
import io.coriandermux.core.dispatch.BatchRouteTable;
import io.coriandermux.core.dispatch.BatchVerdict;
import io.coriandermux.core.dispatch.CallerRef;
import io.coriandermux.core.dispatch.DispatchSettings;
import io.coriandermux.core.dispatch.DispatchStatus;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.message.Heartbeat;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.TablesOffer;
import io.coriandermux.core.message.TablesPull;
import io.coriandermux.core.message.TablesPush;
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
import io.coriandermux.wire.LinkListener;
import io.coriandermux.wire.LinkLoop;
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

	private final LinkLoop links;

	private final BatchDispatcher node;

	private final StoreWatch configWatch;

	private final StoreWatch memberWatch;

	private final AtomicLong references = new AtomicLong();

	/** Receivers of the callers that wait. Used by the decision thread only. */
	private final Map<CallerRef, Consumer<BatchAnswer>> receivers = new LinkedHashMap<>();

	/** Processes to which this one opened a link. Used by the decision thread only. */
	private final Set<PeerName> opened = new LinkedHashSet<>();

	/** Processes whose link is up. Used by the decision thread only. */
	private final Set<PeerName> linked = new LinkedHashSet<>();

	private final MemberList members = new MemberList();

	private final TablesExchange exchange;

	/** Reads documents that other entries send, which takes too long for decisions. */
	private final Worker reader = new Worker("tables");

	private volatile boolean ready;

	private volatile boolean configured;

	/**
	 * Binds the ports and starts the process.
	 * @param settings the settings
	 * @param time the clock of the process
	 * @param store the store; closed by the caller
	 * @param config where the configuration stands and how it reads
	 * @throws IOException if a port cannot be bound
	 */
	public BatchEntryShell(BatchEntrySettings settings, TimeSource time, Store store, ConfigSource config)
			throws IOException {
		this.config = config;
		this.process = new BatchProcess(PeerRole.ENTRY, settings.process(), time, store,
				new BatchProcess.Parts(this::settle, this::tick, new Listener(), (former) -> {
				}));
		this.context = this.process.context();
		this.loop = this.process.loop();
		this.links = this.process.links();
		this.exchange = new TablesExchange(new PeerName(PeerRole.ENTRY, this.process.id()), this.links::send);
		this.node = new BatchDispatcher(new EntryId(this.process.id()), DispatchSettings.defaults(),
				settings.remoteFactor(), this::answer,
				(guard, message) -> this.links.send(new PeerName(PeerRole.GUARD, guard.value()), message),
				this.context.log()::record, time.now());
		this.process.start(() -> this.node.status(this.process.now()));
		this.configWatch = new StoreWatch(store, config.key(), BatchIntervals.CONFIG_WATCH_MILLIS, this::configured,
				() -> {
				}, this.context.health());
		this.memberWatch = new StoreWatch(store, MemberValues.PREFIX, BatchIntervals.MEMBERS_WATCH_MILLIS, this::listed,
				() -> {
				}, this.context.health());
	}

	/**
	 * Returns what the parts of the process share.
	 * @return the context
	 */
	public ProcessContext context() {
		return this.context;
	}

	/**
	 * Returns the way for callers' requests.
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
	public void awaitDrainOrFailure() throws InterruptedException {
		this.process.awaitShutdownOrFailure();
	}

	@Override
	public boolean hasFailed() {
		return this.loop.hasFailed();
	}

	@Override
	public void askDrain() {
		this.process.askShutdown();
	}

	@Override
	public void reload() {
		this.process.reload();
	}

	@Override
	public boolean drain() {
		this.ready = false;
		return this.process.shutDown((limitMillis) -> this.node.beginShutdown(limitMillis, this.process.now()),
				() -> this.node.closeIfIdle(this.process.now()), () -> this.node.abortBatches(this.process.now()));
	}

	@Override
	public void close() {
		this.configWatch.close();
		this.memberWatch.close();
		this.reader.close();
		this.process.close();
	}

	private void settle() {
		this.node.placeIfDue(this.process.now());
	}

	private void tick() {
		this.node.tick(this.process.now());
		this.exchange.tick(this.process.now().nanos());
		DispatchStatus status = this.node.status(this.process.now());
		this.ready = status.version() > 0 && status.accepting() > 0 && !this.process.isShuttingDown();
	}

	private void answer(CallerRef caller, BatchAnswer answer) {
		Consumer<BatchAnswer> receiver = this.receivers.remove(caller);
		if (receiver != null) {
			this.context.metrics().count("batches." + answer.verdict().name().toLowerCase(Locale.ROOT));
			receiver.accept(answer);
		}
	}

	private void configured(KvSnapshot snapshot) {
		snapshot.entry(this.config.key()).ifPresent((entry) -> apply(entry.value()));
	}

	private void apply(String document) {
		try {
			BatchRouteTable tables = this.config.reader().read(document);
			this.loop.put(() -> {
				if (this.node.applyRoutes(tables)) {
					this.configured = true;
					this.exchange.inForce(new TablesPush(tables.version(), document.getBytes(StandardCharsets.UTF_8)),
							this.linked.stream().filter((peer) -> peer.role() == PeerRole.ENTRY).toList());
				}
			});
		}
		catch (MalformedValueException ex) {
			this.context.log().record(LogEvent.TABLES_REFUSED, this.config.key(), ex.getMessage());
		}
	}

	private void listed(KvSnapshot snapshot) {
		Map<PeerName, Member> members = this.members.read(snapshot, this.context.log());
		this.loop.put(() -> connect(members));
	}

	private void connect(Map<PeerName, Member> members) {
		members.forEach((name, member) -> {
			// The entry with the lower id opens the link, so there is one between two.
			boolean opens = name.role() == PeerRole.GUARD || this.process.id().compareTo(name.id()) < 0;
			if (opens) {
				this.opened.add(name);
				this.links.connect(name, member.address());
			}
		});
		// An announcement may lapse while the store is away; a process that answers
		// stays.
		List<PeerName> gone = this.opened.stream()
			.filter((name) -> !members.containsKey(name) && !this.linked.contains(name))
			.toList();
		gone.forEach((name) -> {
			this.opened.remove(name);
			this.links.disconnect(name);
		});
	}

	private void up(PeerIdentity peer) {
		this.linked.add(peer.name());
		this.context.log()
			.record(LogEvent.LINK_UP, peer.name().toString(), "incarnation " + peer.incarnation().value());
		if (peer.name().role() == PeerRole.GUARD) {
			this.node.onGuardConnected(new GuardId(peer.name().id()), peer.incarnation());
		}
		else {
			this.exchange.up(peer.name());
		}
	}

	private void lost(PeerIdentity peer) {
		this.linked.remove(peer.name());
		this.context.log()
			.record(LogEvent.PEER_LOST, peer.name().toString(), "incarnation " + peer.incarnation().value());
		if (peer.name().role() == PeerRole.GUARD) {
			this.node.onGuardLost(new GuardId(peer.name().id()), peer.incarnation(), this.process.now());
		}
		else {
			this.exchange.lost(peer.name());
		}
	}

	private void message(PeerIdentity peer, Message message) {
		if (message instanceof TablesPush push) {
			String document = new String(push.document(), StandardCharsets.UTF_8);
			if (!this.reader.offer(() -> apply(document))) {
				this.context.log()
					.record(LogEvent.TABLES_REFUSED, this.config.key(), "earlier documents are still being read");
			}
		}
		else if (message instanceof TablesOffer offer) {
			this.exchange.offered(peer.name(), offer.version(), this.process.now().nanos());
		}
		else if (message instanceof TablesPull pull) {
			this.exchange.asked(peer.name(), pull.version());
		}
		else if (peer.name().role() == PeerRole.GUARD) {
			this.node.onMessage(new GuardId(peer.name().id()), peer.incarnation(), message, this.process.now());
		}
	}

	private final class Gateway implements BatchGateway {

		@Override
		public Optional<CallerRef> submit(String host, String path, BatchRequest request,
				Consumer<BatchAnswer> receiver) {
			CallerRef caller = new CallerRef(BatchEntryShell.this.references.incrementAndGet());
			long startedNanos = BatchEntryShell.this.process.now().nanos();
			boolean taken = BatchEntryShell.this.loop.offer(() -> {
				BatchEntryShell.this.receivers.put(caller, (answer) -> {
					BatchEntryShell.this.context.metrics()
						.time("batches.time", BatchEntryShell.this.process.now().nanos() - startedNanos);
					receiver.accept(answer);
				});
				BatchEntryShell.this.node.submit(caller, host, path, request, BatchEntryShell.this.process.now());
			});
			return taken ? Optional.of(caller) : Optional.empty();
		}

		@Override
		public void leave(CallerRef caller) {
			BatchEntryShell.this.loop.put(() -> {
				if (BatchEntryShell.this.receivers.remove(caller) != null) {
					BatchEntryShell.this.node.onCallerDisconnected(caller, BatchEntryShell.this.process.now());
				}
			});
		}

		@Override
		public boolean state(BatchId id, Consumer<BatchVerdict> receiver) {
			return BatchEntryShell.this.loop.offer(() -> receiver.accept(BatchEntryShell.this.node.state(id)));
		}

		@Override
		public boolean cancel(BatchId id, Consumer<BatchVerdict> receiver) {
			return BatchEntryShell.this.loop
				.offer(() -> receiver.accept(BatchEntryShell.this.node.cancel(id, BatchEntryShell.this.process.now())));
		}

		@Override
		public boolean pending(String host, String path, Consumer<Optional<Integer>> receiver) {
			return BatchEntryShell.this.loop
				.offer(() -> receiver.accept(BatchEntryShell.this.node.countUnstarted(host, path)));
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
		public boolean up(PeerIdentity peer) {
			return BatchEntryShell.this.loop.offer(() -> BatchEntryShell.this.up(peer));
		}

		@Override
		public boolean lost(PeerIdentity peer) {
			return BatchEntryShell.this.loop.offer(() -> BatchEntryShell.this.lost(peer));
		}

		@Override
		public boolean message(PeerIdentity peer, Message message) {
			if (message instanceof Heartbeat heartbeat) {
				BatchEntryShell.this.links.acknowledge(peer, heartbeat.clockNanos());
				return true;
			}
			return BatchEntryShell.this.loop.offer(() -> BatchEntryShell.this.message(peer, message));
		}

		@Override
		public void fault(String peer, String reason) {
			BatchEntryShell.this.context.log().record(LogEvent.LINK_FAULT, peer, reason);
		}

	}

}
