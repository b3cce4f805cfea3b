package io.coriandermux.proof.world;

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
import io.coriandermux.proof.journal.Decided;
import io.coriandermux.proof.journal.ProcessState;
import io.coriandermux.proof.journal.RevisionsHeld;

/**
 * The shell of an entry under the harness: turns links, timers, store and callers into
 * events and carries out the effects.
 */
final class EntryProcess extends SimProcess {

	private static final long RETRY_NANOS = 300_000_000;

	private static final long LEASE_NANOS = 10_000_000_000L;

	private static final long RENEW_NANOS = 3_000_000_000L;

	private final EntryInfo info;

	private final EntryLogic logic;

	private final Map<String, Remote> remotes = new LinkedHashMap<>();

	private final Map<Long, CallerRequest> open = new LinkedHashMap<>();

	private Tables tables = Tables.EMPTY;

	private boolean stopping;

	EntryProcess(World world, EntryInfo info) {
		super(world, info.entry().value(), info.incarnation().value());
		this.info = info;
		this.logic = world.logic().entry(info, () -> world.uuid(moment().epochMillis()));
	}

	EntryInfo info() {
		return this.info;
	}

	boolean isStopping() {
		return this.stopping;
	}

	@Override
	void begin() {
		announce();
		StoreFake store = world().store();
		store.watch(this, "/homes", (found) -> on(new HomesRead(World.homes(found))));
		store.watch(this, "/entries/", this::entriesListed);
		store.watch(this, "/guards/", (found) -> guardsListed(found, 0));
		store.watch(this, StoreFake.CONFIG, (found) -> apply(world().tables(found)));
		store.onOutage(this, () -> on(new StoreUnavailable()));
		every(RENEW_NANOS, this::announce);
		every(World.TICK_NANOS, this::tick);
		every(World.HEARTBEAT_NANOS, this::beat);
	}

	private void beat() {
		for (Remote remote : new ArrayList<>(this.remotes.values())) {
			if (!remote.isLost()) {
				beat(remote);
			}
		}
	}

	private void beat(Remote remote) {
		EntryStatus status = this.logic.status(moment());
		Heartbeat beat = new Heartbeat(moment().nanos(), remote.clock(), remote.incarnation(), status.tables(),
				status.homes());
		world().journal()
			.add(new RevisionsHeld(world().timeline().now(), name(), incarnation(), beat.config().value(),
					beat.homes().value()));
		world().network().send(this, remote.link(), beat);
	}

	private void announce() {
		if (this.stopping) {
			return;
		}
		StoreFake store = world().store();
		store.call(this, true, () -> {
			store.putLeased("/entries/" + name(), this.info, LEASE_NANOS);
			return true;
		}, (done) -> {
		}, () -> {
		});
	}

	private void entriesListed(SortedMap<String, StoreFake.Versioned> found) {
		List<EntryInfo> infos = new ArrayList<>();
		for (StoreFake.Versioned value : found.values()) {
			EntryInfo entry = (EntryInfo) value.value();
			infos.add(entry);
			if (!entry.entry().equals(this.info.entry())) {
				String peer = entry.entry().value();
				boolean opener = name().compareTo(peer) < 0;
				this.remotes.computeIfAbsent(peer,
						(key) -> new Remote(
								opener ? world().network().link(name(), peer) : world().network().link(peer, name()),
								opener));
			}
		}
		on(new EntriesListed(infos));
	}

	private void guardsListed(SortedMap<String, StoreFake.Versioned> found, long request) {
		List<GuardInfo> infos = new ArrayList<>();
		for (StoreFake.Versioned value : found.values()) {
			GuardInfo guard = (GuardInfo) value.value();
			infos.add(guard);
			String peer = guard.guard().value();
			this.remotes.computeIfAbsent(peer, (key) -> new Remote(world().network().link(name(), peer), true));
		}
		on(new GuardsListed(infos, request));
	}

	// Puts tables in force unless newer ones are.
	void apply(Tables next) {
		world().step(Step.APPLY, this, name(), null);
		deliver(() -> {
			if (next.revision().compareTo(this.tables.revision()) > 0) {
				this.tables = next;
				on(new TablesChanged(next));
			}
		});
	}

	private void tick() {
		long now = world().timeline().now();
		for (Map.Entry<String, Remote> entry : new ArrayList<>(this.remotes.entrySet())) {
			Remote remote = entry.getValue();
			if (remote.isDeadAt(now)) {
				lose(entry.getKey(), remote);
			}
			if (remote.shouldConnect(now)) {
				world().network().connect(remote.link());
			}
		}
		on(new EntryTick());
		if (this.stopping && this.open.isEmpty() && this.logic.status(moment()).shutdownFinished()) {
			world().store().remove("/entries/" + name());
			world().timeline().after(World.FLUSH_NANOS, this::stop);
		}
	}

	private void lose(String peer, Remote remote) {
		remote.markLost();
		if (world().isGuard(peer)) {
			on(new GuardLost(new GuardId(peer), remote.incarnation()));
		}
		else {
			on(new PeerLost(new EntryId(peer), remote.incarnation()));
		}
	}

	@Override
	void linked(Link link, SimProcess peer) {
		boolean opener = link.opener().equals(name());
		Remote remote = this.remotes.computeIfAbsent(peer.name(), (key) -> new Remote(link, opener));
		if (remote.isSuperseded(peer.incarnation())) {
			lose(peer.name(), remote);
		}
		remote.connected(peer.incarnation(), world().timeline().now());
		beat(remote);
		if (peer instanceof GuardProcess guard) {
			on(new GuardConnected(guard.info()));
		}
		else if (peer instanceof EntryProcess entry) {
			on(new PeerConnected(entry.info()));
		}
	}

	@Override
	void received(Link link, long sender, Message message) {
		String from = link.peerOf(this);
		Remote remote = this.remotes.get(from);
		if (remote == null || remote.isLost()) {
			return;
		}
		remote.heard(world().timeline().now());
		if (message instanceof Heartbeat beat) {
			heartbeat(remote, beat);
		}
		if (message instanceof ConfigPull) {
			reply(remote, new ConfigPush(this.tables.revision(), List.of()));
		}
		else if (message instanceof ConfigPush push) {
			apply(world().tablesAt(push.revision().value()));
		}
		else if (world().isGuard(from)) {
			on(new GuardMessage(new GuardId(from), new Incarnation(sender), message));
		}
		else {
			fromPeer(new EntryId(from), remote, sender, message);
		}
	}

	private void heartbeat(Remote remote, Heartbeat beat) {
		remote.clock(beat.clockNanos());
		if (beat.config().compareTo(this.tables.revision()) > 0) {
			reply(remote, new ConfigPull(this.tables.revision()));
		}
	}

	private void fromPeer(EntryId from, Remote remote, long sender, Message message) {
		on(new PeerMessage(from, new Incarnation(sender), message));
	}

	private void reply(Remote remote, Message message) {
		world().network().send(this, remote.link(), message);
	}

	// Receives a caller's request.
	void ask(long call, CallerRequest request) {
		this.open.put(call, request);
		world().step(Step.SUBMIT, this, name(), world().calls().jobOf(call));
		deliver(() -> on(new CallerRequested(call, request)));
	}

	void callerGone(long call) {
		if (this.open.remove(call) != null) {
			on(new CallerDisconnected(call));
		}
	}

	void shutDown() {
		this.stopping = true;
		state(ProcessState.STOPPING);
		on(new ShutdownRequested());
	}

	List<Long> openCalls() {
		return new ArrayList<>(this.open.keySet());
	}

	private void on(EntryEvent event) {
		for (EntryEffect effect : this.logic.on(event, moment())) {
			deliver(() -> perform(effect));
		}
	}

	private void perform(EntryEffect effect) {
		if (effect instanceof SendToGuard send) {
			toGuard(send);
		}
		else if (effect instanceof SendToPeer send) {
			toPeer(send);
		}
		else if (effect instanceof ReplyToCaller reply) {
			decided(reply.reference(), reply.reply());
			world().step(Step.REPLY, this, name(), world().calls().jobOf(reply.reference()));
			deliver(() -> toCaller(reply));
		}
		else if (effect instanceof WriteHomes write) {
			writeHomes(write.next());
		}
		else if (effect instanceof ListGuards list) {
			listGuards(list.request());
		}
		else if (effect instanceof EntryNotice notice) {
			noticed(notice);
		}
	}

	private void noticed(EntryNotice notice) {
		if (notice.notice().kind() == NoticeKind.JOB_ACCEPTED) {
			world().accepted(this, notice.notice().subject());
		}
	}

	private void decided(long call, CallerReply reply) {
		world().journal().add(new Decided(world().timeline().now(), call, this.info.entry(), reply));
	}

	private void toCaller(ReplyToCaller reply) {
		if (this.open.remove(reply.reference()) != null) {
			world().calls().replied(reply.reference(), reply.reply());
		}
	}

	private void toGuard(SendToGuard send) {
		Remote remote = this.remotes.get(send.guard().value());
		if (remote == null || remote.isLost()) {
			return;
		}
		if (send.message() instanceof Start start) {
			world().step(Step.PLACE, this, send.guard().value(), start.task().job());
		}
		deliver(() -> world().network().send(this, remote.link(), send.message()));
	}

	private void toPeer(SendToPeer send) {
		Remote remote = this.remotes.get(send.peer().value());
		if (send.message() instanceof Forward forward) {
			world().calls().forwarded(this, forward.correlation(), forward.request());
			long call = world().calls().callOf(name(), incarnation(), forward.correlation());
			world().step(Step.FORWARD, this, send.peer().value(), world().calls().jobOf(call));
		}
		if (send.message() instanceof ForwardAnswer answer && remote != null) {
			long call = world().calls().callOf(send.peer().value(), remote.incarnation().value(), answer.correlation());
			decided(call, answer.reply());
			world().step(Step.REPLY, this, send.peer().value(), world().calls().jobOf(call));
		}
		if (remote == null || remote.isLost()) {
			return;
		}
		deliver(() -> world().network().send(this, remote.link(), send.message()));
	}

	private void writeHomes(HomeTable next) {
		StoreFake store = world().store();
		store.call(this, true, () -> store.compareAndSwap("/homes", next.revision().value(), next), (written) -> {
			if (written.revision() > 0) {
				on(new HomesRead(World.at(next, written.revision())));
			}
			else {
				on(new HomesWriteRefused(World.homes(written.standing())));
			}
		}, () -> on(new StoreUnavailable()));
	}

	private void listGuards(long request) {
		StoreFake store = world().store();
		store.call(this, false, () -> store.list("/guards/"), (found) -> guardsListed(found, request),
				() -> on(new StoreUnavailable()));
	}

}
