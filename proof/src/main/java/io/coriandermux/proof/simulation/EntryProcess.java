package io.coriandermux.proof.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;

import io.coriandermux.core.api.CallerReply;
import io.coriandermux.core.api.CallerRequest;
import io.coriandermux.core.entry.CallerDisconnected;
import io.coriandermux.core.entry.CallerRequested;
import io.coriandermux.core.entry.EntriesListed;
import io.coriandermux.core.entry.EntryEffect;
import io.coriandermux.core.entry.EntryEvent;
import io.coriandermux.core.entry.EntryNotice;
import io.coriandermux.core.entry.EntryStatus;
import io.coriandermux.core.entry.EntryTick;
import io.coriandermux.core.entry.GuardConnected;
import io.coriandermux.core.entry.GuardLost;
import io.coriandermux.core.entry.GuardMessage;
import io.coriandermux.core.entry.GuardsListed;
import io.coriandermux.core.entry.HomesRead;
import io.coriandermux.core.entry.HomesWriteRefused;
import io.coriandermux.core.entry.ListGuards;
import io.coriandermux.core.entry.PeerConnected;
import io.coriandermux.core.entry.PeerLost;
import io.coriandermux.core.entry.PeerMessage;
import io.coriandermux.core.entry.ReplyToCaller;
import io.coriandermux.core.entry.SendToGuard;
import io.coriandermux.core.entry.SendToPeer;
import io.coriandermux.core.entry.ShutdownRequested;
import io.coriandermux.core.entry.StoreUnavailable;
import io.coriandermux.core.entry.TablesChanged;
import io.coriandermux.core.entry.WriteHomes;
import io.coriandermux.core.home.HomeTable;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.member.EntryInfo;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.message.ConfigPull;
import io.coriandermux.core.message.ConfigPush;
import io.coriandermux.core.message.Forward;
import io.coriandermux.core.message.ForwardAnswer;
import io.coriandermux.core.message.Heartbeat;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.Start;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.table.Tables;
import io.coriandermux.proof.journal.ProcessState;
import io.coriandermux.proof.journal.ReplyDecided;
import io.coriandermux.proof.journal.RevisionsReported;

/**
 * A simulated entry: converts messages, timers, store snapshots and callers' requests
 * into events of its decision logic and performs the effects.
 */
final class EntryProcess extends SimulatedProcess {

	private static final long RETRY_NANOS = 300_000_000;

	private static final long LEASE_NANOS = 10_000_000_000L;

	private static final long RENEW_NANOS = 3_000_000_000L;

	private final EntryInfo info;

	private final EntryLogic logic;

	private final Map<String, PeerConnection> connections = new LinkedHashMap<>();

	private final Map<Long, CallerRequest> openRequests = new LinkedHashMap<>();

	private Tables tables = Tables.EMPTY;

	private boolean stopping;

	EntryProcess(Simulation simulation, EntryInfo info) {
		super(simulation, info.entry().value(), info.incarnation().value());
		this.info = info;
		this.logic = simulation.logicFactory().createEntryLogic(info, () -> simulation.newUuid(moment().epochMillis()));
	}

	EntryInfo info() {
		return this.info;
	}

	boolean isStopping() {
		return this.stopping;
	}

	@Override
	void start() {
		announce();
		FakeStore store = simulation().store();
		store.watch(this, "/homes", (found) -> handle(new HomesRead(Simulation.homeTable(found))));
		store.watch(this, "/entries/", this::onEntriesListed);
		store.watch(this, "/guards/", (found) -> onGuardsListed(found, 0));
		store.watch(this, FakeStore.CONFIG, (found) -> applyTables(simulation().buildTables(found)));
		store.addOutageListener(this, () -> handle(new StoreUnavailable()));
		scheduleEvery(RENEW_NANOS, this::announce);
		scheduleEvery(Simulation.TICK_NANOS, this::tick);
		scheduleEvery(Simulation.HEARTBEAT_NANOS, this::sendHeartbeats);
	}

	private void sendHeartbeats() {
		for (PeerConnection connection : new ArrayList<>(this.connections.values())) {
			if (!connection.isLost()) {
				sendHeartbeat(connection);
			}
		}
	}

	private void sendHeartbeat(PeerConnection connection) {
		EntryStatus status = this.logic.status(moment());
		Heartbeat heartbeat = new Heartbeat(moment().nanos(), connection.peerClockNanos(), connection.incarnation(),
				status.tables(), status.homes());
		simulation().journal()
			.add(new RevisionsReported(simulation().clock().now(), name(), incarnation(),
					heartbeat.configRevision().value(), heartbeat.homesRevision().value()));
		simulation().network().send(this, connection.link(), heartbeat);
	}

	private void announce() {
		if (this.stopping) {
			return;
		}
		FakeStore store = simulation().store();
		store.call(this, true, () -> {
			store.putLeased("/entries/" + name(), this.info, LEASE_NANOS);
			return true;
		}, (done) -> {
		}, () -> {
		});
	}

	private void onEntriesListed(SortedMap<String, FakeStore.Versioned> found) {
		List<EntryInfo> infos = new ArrayList<>();
		for (FakeStore.Versioned value : found.values()) {
			EntryInfo entry = (EntryInfo) value.value();
			infos.add(entry);
			if (!entry.entry().equals(this.info.entry())) {
				String peer = entry.entry().value();
				boolean opener = name().compareTo(peer) < 0;
				this.connections.computeIfAbsent(peer, (key) -> new PeerConnection(
						opener ? simulation().network().link(name(), peer) : simulation().network().link(peer, name()),
						opener));
			}
		}
		handle(new EntriesListed(infos));
	}

	private void onGuardsListed(SortedMap<String, FakeStore.Versioned> found, long request) {
		List<GuardInfo> infos = new ArrayList<>();
		for (FakeStore.Versioned value : found.values()) {
			GuardInfo guard = (GuardInfo) value.value();
			infos.add(guard);
			String peer = guard.guard().value();
			this.connections.computeIfAbsent(peer,
					(key) -> new PeerConnection(simulation().network().link(name(), peer), true));
		}
		handle(new GuardsListed(infos, request));
	}

	// Applies tables unless a newer revision is in force.
	void applyTables(Tables next) {
		simulation().onStep(Step.APPLY, this, name(), null);
		deliver(() -> {
			if (next.revision().compareTo(this.tables.revision()) > 0) {
				this.tables = next;
				handle(new TablesChanged(next));
			}
		});
	}

	private void tick() {
		long now = simulation().clock().now();
		for (Map.Entry<String, PeerConnection> entry : new ArrayList<>(this.connections.entrySet())) {
			PeerConnection connection = entry.getValue();
			if (connection.detectLoss(now)) {
				onPeerLost(entry.getKey(), connection);
			}
			if (connection.startConnectAttempt(now)) {
				simulation().network().connect(connection.link());
			}
		}
		handle(new EntryTick());
		if (this.stopping && this.openRequests.isEmpty() && this.logic.status(moment()).shutdownFinished()) {
			simulation().store().remove("/entries/" + name());
			simulation().clock().scheduleAfter(Simulation.FLUSH_NANOS, this::stop);
		}
	}

	private void onPeerLost(String peer, PeerConnection connection) {
		connection.markLost();
		if (simulation().isGuard(peer)) {
			handle(new GuardLost(new GuardId(peer), connection.incarnation()));
		}
		else {
			handle(new PeerLost(new EntryId(peer), connection.incarnation()));
		}
	}

	@Override
	void onConnected(Link link, SimulatedProcess peer) {
		boolean opener = link.opener().equals(name());
		PeerConnection connection = this.connections.computeIfAbsent(peer.name(),
				(key) -> new PeerConnection(link, opener));
		if (connection.isSuperseded(peer.incarnation())) {
			onPeerLost(peer.name(), connection);
		}
		connection.onConnected(peer.incarnation(), simulation().clock().now());
		sendHeartbeat(connection);
		if (peer instanceof GuardProcess guard) {
			handle(new GuardConnected(guard.info()));
		}
		else if (peer instanceof EntryProcess entry) {
			handle(new PeerConnected(entry.info()));
		}
	}

	@Override
	void onMessage(Link link, long senderIncarnation, Message message) {
		String from = link.peerOf(this);
		PeerConnection connection = this.connections.get(from);
		if (connection == null || connection.isLost()) {
			return;
		}
		connection.recordReceipt(simulation().clock().now());
		if (message instanceof Heartbeat heartbeat) {
			onHeartbeat(connection, heartbeat);
		}
		if (message instanceof ConfigPull) {
			send(connection, new ConfigPush(this.tables.revision(), List.of()));
		}
		else if (message instanceof ConfigPush push) {
			applyTables(simulation().tablesAt(push.revision().value()));
		}
		else if (simulation().isGuard(from)) {
			handle(new GuardMessage(new GuardId(from), new Incarnation(senderIncarnation), message));
		}
		else {
			onPeerMessage(new EntryId(from), connection, senderIncarnation, message);
		}
	}

	private void onHeartbeat(PeerConnection connection, Heartbeat heartbeat) {
		connection.recordPeerClock(heartbeat.clockNanos());
		if (heartbeat.configRevision().compareTo(this.tables.revision()) > 0) {
			send(connection, new ConfigPull(this.tables.revision()));
		}
	}

	private void onPeerMessage(EntryId from, PeerConnection connection, long senderIncarnation, Message message) {
		handle(new PeerMessage(from, new Incarnation(senderIncarnation), message));
	}

	private void send(PeerConnection connection, Message message) {
		simulation().network().send(this, connection.link(), message);
	}

	void onRequest(long number, CallerRequest request) {
		this.openRequests.put(number, request);
		simulation().onStep(Step.SUBMIT, this, name(), simulation().callerConnections().jobOf(number));
		deliver(() -> handle(new CallerRequested(number, request)));
	}

	void onCallerDisconnected(long number) {
		if (this.openRequests.remove(number) != null) {
			handle(new CallerDisconnected(number));
		}
	}

	void shutDown() {
		this.stopping = true;
		recordState(ProcessState.STOPPING);
		handle(new ShutdownRequested());
	}

	List<Long> openRequestNumbers() {
		return new ArrayList<>(this.openRequests.keySet());
	}

	private void handle(EntryEvent event) {
		for (EntryEffect effect : this.logic.handle(event, moment())) {
			deliver(() -> perform(effect));
		}
	}

	private void perform(EntryEffect effect) {
		if (effect instanceof SendToGuard send) {
			sendToGuard(send);
		}
		else if (effect instanceof SendToPeer send) {
			sendToPeer(send);
		}
		else if (effect instanceof ReplyToCaller reply) {
			recordDecision(reply.reference(), reply.reply());
			simulation().onStep(Step.REPLY, this, name(), simulation().callerConnections().jobOf(reply.reference()));
			deliver(() -> replyToCaller(reply));
		}
		else if (effect instanceof WriteHomes write) {
			writeHomes(write.next());
		}
		else if (effect instanceof ListGuards list) {
			listGuards(list.request());
		}
		else if (effect instanceof EntryNotice notice) {
			onNotice(notice);
		}
	}

	private void onNotice(EntryNotice notice) {
		if (notice.notice().kind() == NoticeKind.JOB_ACCEPTED) {
			simulation().onJobAccepted(this, notice.notice().subject());
		}
	}

	private void recordDecision(long number, CallerReply reply) {
		simulation().journal().add(new ReplyDecided(simulation().clock().now(), number, this.info.entry(), reply));
	}

	private void replyToCaller(ReplyToCaller reply) {
		if (this.openRequests.remove(reply.reference()) != null) {
			simulation().callerConnections().deliverReply(reply.reference(), reply.reply());
		}
	}

	private void sendToGuard(SendToGuard send) {
		PeerConnection connection = this.connections.get(send.guard().value());
		if (connection == null || connection.isLost()) {
			return;
		}
		if (send.message() instanceof Start start) {
			simulation().onStep(Step.PLACE, this, send.guard().value(), start.task().job());
		}
		deliver(() -> simulation().network().send(this, connection.link(), send.message()));
	}

	private void sendToPeer(SendToPeer send) {
		PeerConnection connection = this.connections.get(send.peer().value());
		if (send.message() instanceof Forward forward) {
			simulation().callerConnections().recordForward(this, forward.correlation(), forward.request());
			long number = simulation().callerConnections()
				.requestOfForward(name(), incarnation(), forward.correlation());
			simulation().onStep(Step.FORWARD, this, send.peer().value(),
					simulation().callerConnections().jobOf(number));
		}
		if (send.message() instanceof ForwardAnswer answer && connection != null) {
			long number = simulation().callerConnections()
				.requestOfForward(send.peer().value(), connection.incarnation().value(), answer.correlation());
			recordDecision(number, answer.reply());
			simulation().onStep(Step.REPLY, this, send.peer().value(), simulation().callerConnections().jobOf(number));
		}
		if (connection == null || connection.isLost()) {
			return;
		}
		deliver(() -> simulation().network().send(this, connection.link(), send.message()));
	}

	private void writeHomes(HomeTable next) {
		FakeStore store = simulation().store();
		store.call(this, true, () -> store.compareAndSwap("/homes", next.revision().value(), next), (written) -> {
			if (written.revision() > 0) {
				handle(new HomesRead(Simulation.withRevision(next, written.revision())));
			}
			else {
				handle(new HomesWriteRefused(Simulation.homeTable(written.current())));
			}
		}, () -> handle(new StoreUnavailable()));
	}

	private void listGuards(long request) {
		FakeStore store = simulation().store();
		store.call(this, false, () -> store.list("/guards/"), (found) -> onGuardsListed(found, request),
				() -> handle(new StoreUnavailable()));
	}

}
