package io.coriandermux.proof.world;

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
import io.coriandermux.proof.journal.RevisionsHeld;

/**
 * The shell of a guard under the harness: turns links, timers, store and endpoint into
 * events and carries out the effects.
 */
final class GuardProcess extends SimProcess {

	private static final long RETRY_NANOS = 300_000_000;

	private static final long EARLIER_NANOS = 3_600_000_000_000L;

	private static final long LEASE_NANOS = 3_600_000_000_000L;

	private final GuardInfo info;

	private final GuardLogic logic;

	private final Map<String, Peer> peers = new LinkedHashMap<>();

	private final Map<String, Long> heard = new LinkedHashMap<>();

	private final Map<String, Long> clocks = new LinkedHashMap<>();

	private Revision config = new Revision(0);

	private Revision homes = new Revision(0);

	GuardProcess(World world, GuardInfo info) {
		super(world, info.guard().value(), info.incarnation().value());
		this.info = info;
		this.logic = world.logic().guard(info, startedAt());
	}

	// The guards of the beginning have run for longer than the retention, so a home may
	// conclude from their ledgers that a task did not start.
	private Moment startedAt() {
		return (world().timeline().now() > 0) ? moment() : moment().plusNanos(-EARLIER_NANOS);
	}

	GuardInfo info() {
		return this.info;
	}

	@Override
	void begin() {
		StoreFake store = world().store();
		store.call(this, true, () -> {
			store.putLeased("/guards/" + name(), this.info, LEASE_NANOS);
			return true;
		}, (done) -> readHomes(), () -> world().timeline().after(RETRY_NANOS, this::begin));
		every(World.TICK_NANOS, this::tick);
		every(World.HEARTBEAT_NANOS, () -> new ArrayList<>(this.peers.keySet()).forEach(this::beat));
	}

	private void beat(String entry) {
		Heartbeat beat = new Heartbeat(moment().nanos(), this.clocks.get(entry),
				new Incarnation(this.peers.get(entry).incarnation()), this.config, this.homes);
		world().journal()
			.add(new RevisionsHeld(world().timeline().now(), name(), incarnation(), beat.config().value(),
					beat.homes().value()));
		world().network().send(this, this.peers.get(entry).link(), beat);
	}

	private void readHomes() {
		StoreFake store = world().store();
		store.call(this, false, () -> world().homesInStore(), (homes) -> on(new GuardHomesRead(homes)),
				() -> world().timeline().after(RETRY_NANOS, this::readHomes));
	}

	private void tick() {
		long now = world().timeline().now();
		for (Map.Entry<String, Peer> peer : new ArrayList<>(this.peers.entrySet())) {
			if (now - this.heard.get(peer.getKey()) > World.DEAD_NANOS) {
				this.peers.remove(peer.getKey());
				on(new EntryDisconnected(new EntryId(peer.getKey()), new Incarnation(peer.getValue().incarnation())));
			}
		}
		on(new GuardTick());
	}

	@Override
	void linked(Link link, SimProcess peer) {
		Peer known = this.peers.get(peer.name());
		EntryId entry = new EntryId(peer.name());
		if (known != null && known.incarnation() != peer.incarnation()) {
			on(new EntryDisconnected(entry, new Incarnation(known.incarnation())));
		}
		this.peers.put(peer.name(), new Peer(link, peer.incarnation()));
		this.heard.put(peer.name(), world().timeline().now());
		this.clocks.put(peer.name(), 0L);
		beat(peer.name());
		on(new EntryConnected(entry, new Incarnation(peer.incarnation())));
	}

	@Override
	void received(Link link, long sender, Message message) {
		String from = link.peerOf(this);
		Peer peer = this.peers.get(from);
		if (peer == null) {
			return;
		}
		this.heard.put(from, world().timeline().now());
		if (message instanceof Heartbeat beat) {
			this.clocks.put(from, beat.clockNanos());
			this.config = (beat.config().compareTo(this.config) > 0) ? beat.config() : this.config;
		}
		if (message instanceof Start start) {
			world().step(Step.START, this, from, start.task().job());
		}
		deliver(() -> on(new EntryMessage(new EntryId(from), new Incarnation(sender), message)));
	}

	void on(GuardEvent event) {
		if (event instanceof DrainRequested) {
			state(ProcessState.LEAVING);
		}
		for (GuardEffect effect : this.logic.on(event, moment())) {
			deliver(() -> perform(effect));
		}
	}

	private void perform(GuardEffect effect) {
		if (effect instanceof SendToEntry send) {
			send(send);
		}
		else if (effect instanceof RunTask run) {
			world().endpoint(this.info.guard()).run(this, run.start());
		}
		else if (effect instanceof AbortTask abort) {
			world().endpoint(this.info.guard()).abort(abort.task());
		}
		else if (effect instanceof DrainFinished) {
			world().store().remove("/guards/" + name());
			// The process ends after the bytes it has written to its links are sent.
			world().timeline().after(World.FLUSH_NANOS, this::stop);
		}
	}

	private void send(SendToEntry send) {
		Peer peer = this.peers.get(send.entry().value());
		if (peer == null) {
			return;
		}
		if (send.message() instanceof Answer answer) {
			world().step(Step.ANSWER, this, send.entry().value(), answer.task().job());
		}
		deliver(() -> world().network().send(this, peer.link(), send.message()));
	}

	private record Peer(Link link, long incarnation) {
	}

}
