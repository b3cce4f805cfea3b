package io.coriandermux.proof.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;

import io.coriandermux.core.guard.AbortTask;
import io.coriandermux.core.guard.DrainFinished;
import io.coriandermux.core.guard.DrainRequested;
import io.coriandermux.core.guard.EntryConnected;
import io.coriandermux.core.guard.EntryDisconnected;
import io.coriandermux.core.guard.EntryMessage;
import io.coriandermux.core.guard.GuardEffect;
import io.coriandermux.core.guard.GuardEvent;
import io.coriandermux.core.guard.GuardHomesRead;
import io.coriandermux.core.guard.GuardTick;
import io.coriandermux.core.guard.RunTask;
import io.coriandermux.core.guard.SendToEntry;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.message.Answer;
import io.coriandermux.core.message.Heartbeat;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.Start;
import io.coriandermux.proof.journal.ProcessState;
import io.coriandermux.proof.journal.RevisionsReported;

/**
 * A simulated guard: converts messages, timers, store snapshots and results of the
 * endpoint into events of its decision logic and performs the effects.
 */
final class GuardProcess extends SimulatedProcess {

	private static final long RETRY_NANOS = 300_000_000;

	private static final long INITIAL_GUARD_AGE_NANOS = 3_600_000_000_000L;

	private static final long LEASE_NANOS = 3_600_000_000_000L;

	private final GuardInfo info;

	private final GuardLogic logic;

	private final Map<String, Peer> peers = new LinkedHashMap<>();

	private final Map<String, Long> lastReceived = new LinkedHashMap<>();

	private final Map<String, Long> peerClocks = new LinkedHashMap<>();

	private Revision config = new Revision(0);

	private Revision homes = new Revision(0);

	GuardProcess(Simulation simulation, GuardInfo info) {
		super(simulation, info.guard().value(), info.incarnation().value());
		this.info = info;
		this.logic = simulation.logicFactory().createGuardLogic(info, startedAt());
	}

	// Guards present at the start of a run report a start time before the retention
	// period, so a home can conclude from their ledgers that a task did not start.
	private Moment startedAt() {
		return (simulation().clock().now() > 0) ? moment() : moment().plusNanos(-INITIAL_GUARD_AGE_NANOS);
	}

	GuardInfo info() {
		return this.info;
	}

	@Override
	void start() {
		FakeStore store = simulation().store();
		store.call(this, true, () -> {
			store.putLeased("/guards/" + name(), this.info, LEASE_NANOS);
			return true;
		}, (done) -> readHomes(), () -> simulation().clock().scheduleAfter(RETRY_NANOS, this::start));
		scheduleEvery(Simulation.TICK_NANOS, this::tick);
		scheduleEvery(Simulation.HEARTBEAT_NANOS,
				() -> new ArrayList<>(this.peers.keySet()).forEach(this::sendHeartbeat));
	}

	private void sendHeartbeat(String entry) {
		Heartbeat heartbeat = new Heartbeat(moment().nanos(), this.peerClocks.get(entry),
				new Incarnation(this.peers.get(entry).incarnation()), this.config, this.homes);
		simulation().journal()
			.add(new RevisionsReported(simulation().clock().now(), name(), incarnation(),
					heartbeat.configRevision().value(), heartbeat.homesRevision().value()));
		simulation().network().send(this, this.peers.get(entry).link(), heartbeat);
	}

	private void readHomes() {
		FakeStore store = simulation().store();
		store.call(this, false, () -> simulation().storedHomeTable(), (homes) -> handle(new GuardHomesRead(homes)),
				() -> simulation().clock().scheduleAfter(RETRY_NANOS, this::readHomes));
	}

	private void tick() {
		long now = simulation().clock().now();
		for (Map.Entry<String, Peer> peer : new ArrayList<>(this.peers.entrySet())) {
			if (now - this.lastReceived.get(peer.getKey()) > Simulation.PEER_TIMEOUT_NANOS) {
				this.peers.remove(peer.getKey());
				handle(new EntryDisconnected(new EntryId(peer.getKey()),
						new Incarnation(peer.getValue().incarnation())));
			}
		}
		handle(new GuardTick());
	}

	@Override
	void onConnected(Link link, SimulatedProcess peer) {
		Peer known = this.peers.get(peer.name());
		EntryId entry = new EntryId(peer.name());
		if (known != null && known.incarnation() != peer.incarnation()) {
			handle(new EntryDisconnected(entry, new Incarnation(known.incarnation())));
		}
		this.peers.put(peer.name(), new Peer(link, peer.incarnation()));
		this.lastReceived.put(peer.name(), simulation().clock().now());
		this.peerClocks.put(peer.name(), 0L);
		sendHeartbeat(peer.name());
		handle(new EntryConnected(entry, new Incarnation(peer.incarnation())));
	}

	@Override
	void onMessage(Link link, long senderIncarnation, Message message) {
		String from = link.peerOf(this);
		Peer peer = this.peers.get(from);
		if (peer == null) {
			return;
		}
		this.lastReceived.put(from, simulation().clock().now());
		if (message instanceof Heartbeat heartbeat) {
			this.peerClocks.put(from, heartbeat.clockNanos());
			this.config = (heartbeat.configRevision().compareTo(this.config) > 0) ? heartbeat.configRevision()
					: this.config;
		}
		if (message instanceof Start start) {
			simulation().onStep(Step.START, this, from, start.task().job());
		}
		deliver(() -> handle(new EntryMessage(new EntryId(from), new Incarnation(senderIncarnation), message)));
	}

	void handle(GuardEvent event) {
		if (event instanceof DrainRequested) {
			recordState(ProcessState.LEAVING);
		}
		for (GuardEffect effect : this.logic.handle(event, moment())) {
			deliver(() -> perform(effect));
		}
	}

	private void perform(GuardEffect effect) {
		if (effect instanceof SendToEntry send) {
			send(send);
		}
		else if (effect instanceof RunTask run) {
			simulation().endpoint(this.info.guard()).runTask(this, run.start());
		}
		else if (effect instanceof AbortTask abort) {
			simulation().endpoint(this.info.guard()).abort(abort.task());
		}
		else if (effect instanceof DrainFinished) {
			simulation().store().remove("/guards/" + name());
			// The delay lets the links send the pending messages.
			simulation().clock().scheduleAfter(Simulation.FLUSH_NANOS, this::stop);
		}
	}

	private void send(SendToEntry send) {
		Peer peer = this.peers.get(send.entry().value());
		if (peer == null) {
			return;
		}
		if (send.message() instanceof Answer answer) {
			simulation().onStep(Step.ANSWER, this, send.entry().value(), answer.task().job());
		}
		deliver(() -> simulation().network().send(this, peer.link(), send.message()));
	}

	private record Peer(Link link, long incarnation) {
	}

}
