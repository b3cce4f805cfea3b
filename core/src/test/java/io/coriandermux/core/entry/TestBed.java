package io.coriandermux.core.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.coriandermux.core.api.CallerReply;
import io.coriandermux.core.api.CallerRequest;
import io.coriandermux.core.api.Resources;
import io.coriandermux.core.guard.AbortTask;
import io.coriandermux.core.guard.EntryLinked;
import io.coriandermux.core.guard.EntryMessage;
import io.coriandermux.core.guard.EntryUnlinked;
import io.coriandermux.core.guard.GuardEffect;
import io.coriandermux.core.guard.GuardEvent;
import io.coriandermux.core.guard.GuardHomesRead;
import io.coriandermux.core.guard.GuardNode;
import io.coriandermux.core.guard.GuardNotice;
import io.coriandermux.core.guard.GuardSettings;
import io.coriandermux.core.guard.GuardTick;
import io.coriandermux.core.guard.OvercommittedSlots;
import io.coriandermux.core.guard.RunTask;
import io.coriandermux.core.guard.SendToEntry;
import io.coriandermux.core.guard.TaskEnded;
import io.coriandermux.core.home.HomeTable;
import io.coriandermux.core.id.EndpointName;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.RackName;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.id.ZoneName;
import io.coriandermux.core.member.EntryInfo;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.message.Heartbeat;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.Start;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.table.Tables;

/**
 * Entries, guards, endpoints and store of a test, joined by queues under a paused clock.
 * Messages of a link keep their order; a cut link drops them.
 */
final class TestBed {

	static final long START_MILLIS = 1_700_000_000_000L;

	static final long SILENCE_MILLIS = 3_000;

	private static final long STEP_MILLIS = 100;

	final Map<EntryInfo, EntryNode> entries = new LinkedHashMap<>();

	final Map<GuardInfo, GuardNode> guards = new LinkedHashMap<>();

	final Map<Long, CallerReply> replies = new LinkedHashMap<>();

	final List<Start> starts = new ArrayList<>();

	final Map<TaskKey, Runnable> running = new LinkedHashMap<>();

	private final Map<TaskKey, GuardInfo> runners = new LinkedHashMap<>();

	final List<NoticeKind> notices = new ArrayList<>();

	final Set<Set<String>> cuts = new LinkedHashSet<>();

	private final Map<Set<String>, Long> silent = new LinkedHashMap<>();

	final Map<EntryInfo, List<EntryEvent>> paused = new LinkedHashMap<>();

	final List<Runnable> delivered = new ArrayList<>();

	Predicate<Message> dropped = (message) -> false;

	/** Called for each reply with the number of its request. */
	Consumer<Long> replied = (reference) -> {
	};

	HomeTable homes = HomeTable.EMPTY;

	boolean storeDown;

	boolean loseWriteAnswer;

	private final Tables tables;

	private final ArrayDeque<Runnable> queue = new ArrayDeque<>();

	private Moment now = new Moment(1_000_000_000L, START_MILLIS);

	private final Map<EntryInfo, Long> sent = new LinkedHashMap<>();

	private long uuids;

	private boolean draining;

	TestBed(Tables tables) {
		this.tables = tables;
	}

	Moment now() {
		return this.now;
	}

	long millis() {
		return this.now.epochMillis();
	}

	EntryInfo addEntry(String name, long incarnation) {
		EntryInfo info = new EntryInfo(new EntryId(name), new Incarnation(incarnation), "127.0.0.1", 1,
				new ZoneName("zone"));
		EntryNode node = new EntryNode(EntrySettings.of(info), new FifoScheduler(), this::uuid);
		List<EntryInfo> peers = List.copyOf(this.entries.keySet());
		this.entries.put(info, node);
		entry(info, new TablesChanged(this.tables));
		listEntries();
		for (EntryInfo peer : peers) {
			link(info, peer);
		}
		listGuards();
		for (GuardInfo guard : List.copyOf(this.guards.keySet())) {
			link(info, guard);
		}
		entry(info, new HomesRead(this.homes));
		return info;
	}

	GuardInfo addGuard(String name, long incarnation, int slots) {
		GuardInfo info = new GuardInfo(new GuardId(name), new Incarnation(incarnation), "127.0.0.1", 2,
				new ZoneName("zone"), new RackName("rack"), new EndpointName(name), slots, new Resources(8, 8, 0));
		GuardNode node = new GuardNode(new GuardSettings(info, 120_000, 1 << 20, millis()),
				new OvercommittedSlots(slots));
		this.guards.put(info, node);
		listGuards();
		guard(info, new GuardHomesRead(this.homes));
		for (EntryInfo entry : List.copyOf(this.entries.keySet())) {
			link(entry, info);
		}
		return info;
	}

	void link(EntryInfo entry, GuardInfo guard) {
		if (isCut(entry.entry().value(), guard.guard().value())) {
			return;
		}
		together(() -> {
			entry(entry, new GuardConnected(guard));
			guard(guard, new EntryLinked(entry.entry(), entry.incarnation()));
		});
		heartbeat(entry, guard);
	}

	void link(EntryInfo one, EntryInfo other) {
		if (!isCut(one.entry().value(), other.entry().value())) {
			together(() -> {
				entry(one, new PeerConnected(other));
				entry(other, new PeerConnected(one));
			});
		}
	}

	void listEntries() {
		if (!this.storeDown) {
			List<EntryInfo> all = List.copyOf(this.entries.keySet());
			all.forEach((entry) -> entry(entry, new EntriesListed(all)));
		}
	}

	void listGuards() {
		if (!this.storeDown) {
			List<GuardInfo> all = List.copyOf(this.guards.keySet());
			List.copyOf(this.entries.keySet()).forEach((entry) -> entry(entry, new GuardsListed(all, 0)));
		}
	}

	void kill(EntryInfo entry) {
		this.entries.remove(entry);
		this.paused.remove(entry);
		for (EntryInfo other : List.copyOf(this.entries.keySet())) {
			entry(other, new PeerLost(entry.entry(), entry.incarnation()));
		}
		for (GuardInfo guard : List.copyOf(this.guards.keySet())) {
			guard(guard, new EntryUnlinked(entry.entry(), entry.incarnation()));
		}
	}

	void kill(GuardInfo guard) {
		this.guards.remove(guard);
		for (EntryInfo entry : List.copyOf(this.entries.keySet())) {
			entry(entry, new GuardLost(guard.guard(), guard.incarnation()));
		}
	}

	void cut(String one, String other) {
		this.cuts.add(Set.of(one, other));
	}

	private boolean isCut(String one, String other) {
		return this.cuts.contains(Set.of(one, other));
	}

	CallerReply ask(EntryInfo entry, long reference, CallerRequest request) {
		entry(entry, new CallerRequested(reference, request));
		return this.replies.get(reference);
	}

	void finishAll() {
		List.copyOf(this.running.values()).forEach(Runnable::run);
	}

	/** Lets time pass with heartbeats and ticks. */
	void advance(long millis) {
		for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
			this.now = this.now.plusNanos(Math.min(STEP_MILLIS, millis - passed) * 1_000_000);
			for (EntryInfo entry : List.copyOf(this.entries.keySet())) {
				this.guards.keySet().stream().toList().forEach((guard) -> heartbeat(entry, guard));
				this.entries.keySet().stream().toList().forEach((peer) -> heartbeat(entry, peer));
				entry(entry, new EntryTick());
			}
			for (GuardInfo guard : List.copyOf(this.guards.keySet())) {
				guard(guard, new GuardTick());
			}
			detect();
		}
	}

	/**
	 * Reports links that were cut for the silence limit as lost, and links that work
	 * again as replaced.
	 */
	private void detect() {
		for (EntryInfo entry : List.copyOf(this.entries.keySet())) {
			for (GuardInfo guard : List.copyOf(this.guards.keySet())) {
				if (silence(entry.entry().value(), guard.guard().value()) == SILENCE_MILLIS) {
					entry(entry, new GuardLost(guard.guard(), guard.incarnation()));
					guard(guard, new EntryUnlinked(entry.entry(), entry.incarnation()));
				}
			}
			for (EntryInfo peer : List.copyOf(this.entries.keySet())) {
				if (!peer.equals(entry) && silence(entry.entry().value(), peer.entry().value()) == SILENCE_MILLIS) {
					entry(entry, new PeerLost(peer.entry(), peer.incarnation()));
				}
			}
		}
		this.cuts.forEach((cut) -> this.silent.merge(cut, STEP_MILLIS, Long::sum));
	}

	private long silence(String one, String other) {
		return isCut(one, other) ? this.silent.getOrDefault(Set.of(one, other), 0L) : -1;
	}

	/** Ends all cuts; both ends open new links. */
	void healAll() {
		Set<Set<String>> healed = new LinkedHashSet<>(this.cuts);
		this.cuts.clear();
		this.silent.clear();
		for (EntryInfo entry : List.copyOf(this.entries.keySet())) {
			for (GuardInfo guard : List.copyOf(this.guards.keySet())) {
				if (healed.contains(Set.of(entry.entry().value(), guard.guard().value()))) {
					link(entry, guard);
				}
			}
			for (EntryInfo peer : List.copyOf(this.entries.keySet())) {
				if (entry.entry().compareTo(peer.entry()) < 0
						&& healed.contains(Set.of(entry.entry().value(), peer.entry().value()))) {
					link(entry, peer);
				}
			}
			if (healed.contains(Set.of(entry.entry().value(), "store"))) {
				entry(entry, new HomesRead(this.homes));
			}
		}
	}

	private void heartbeat(EntryInfo entry, GuardInfo guard) {
		if (!isCut(entry.entry().value(), guard.guard().value())) {
			entry(entry, new GuardMessage(guard.guard(), guard.incarnation(), new Heartbeat(this.now.nanos(),
					echo(entry), entry.incarnation(), new Revision(0), new Revision(0))));
		}
	}

	/** The last reading that an entry sent; a paused one sends none. */
	private long echo(EntryInfo entry) {
		if (!this.paused.containsKey(entry)) {
			this.sent.put(entry, this.now.nanos());
		}
		return this.sent.getOrDefault(entry, 0L);
	}

	private void heartbeat(EntryInfo to, EntryInfo from) {
		if (!this.paused.containsKey(from) && !to.equals(from) && !isCut(to.entry().value(), from.entry().value())) {
			entry(to, new PeerMessage(from.entry(), from.incarnation(), new Heartbeat(this.now.nanos(), echo(to),
					to.incarnation(), new Revision(0), this.entries.get(from).status(this.now).homes())));
		}
	}

	/** Ends a pause: the process works off what arrived meanwhile. */
	void resume(EntryInfo entry) {
		List<EntryEvent> waiting = this.paused.remove(entry);
		if (waiting != null) {
			waiting.forEach((event) -> entry(entry, event));
		}
	}

	void entry(EntryInfo entry, EntryEvent event) {
		this.queue.add(() -> {
			if (this.paused.containsKey(entry)) {
				this.paused.get(entry).add(event);
			}
			else if (this.entries.containsKey(entry)) {
				this.entries.get(entry).on(event, this.now).forEach((effect) -> carryOut(entry, effect));
			}
		});
		drain();
	}

	void guard(GuardInfo guard, GuardEvent event) {
		this.queue.add(() -> {
			if (this.guards.containsKey(guard)) {
				this.guards.get(guard).on(event, this.now).forEach((effect) -> carryOut(guard, effect));
			}
		});
		drain();
	}

	/** Both ends of a link learn of it before its first message arrives. */
	private void together(Runnable events) {
		boolean before = this.draining;
		this.draining = true;
		events.run();
		this.draining = before;
		drain();
	}

	private void drain() {
		if (this.draining) {
			return;
		}
		this.draining = true;
		while (!this.queue.isEmpty()) {
			this.queue.poll().run();
		}
		this.draining = false;
	}

	private void carryOut(EntryInfo entry, EntryEffect effect) {
		String name = entry.entry().value();
		if (effect instanceof SendToGuard send) {
			this.guards.keySet()
				.stream()
				.filter((guard) -> guard.guard().equals(send.guard())
						&& passes(name, send.guard().value(), send.message()))
				.findFirst()
				.ifPresent(
						(guard) -> guard(guard, new EntryMessage(entry.entry(), entry.incarnation(), send.message())));
		}
		else if (effect instanceof SendToPeer send) {
			this.entries.keySet()
				.stream()
				.filter((peer) -> peer.entry().equals(send.peer()) && passes(name, send.peer().value(), send.message()))
				.findFirst()
				.ifPresent((peer) -> entry(peer, new PeerMessage(entry.entry(), entry.incarnation(), send.message())));
		}
		else if (effect instanceof ReplyToCaller reply) {
			this.replies.put(reply.reference(), reply.reply());
			this.replied.accept(reply.reference());
		}
		else if (effect instanceof EntryNotice notice) {
			this.notices.add(notice.notice().kind());
		}
		else if (this.storeDown || isCut(name, "store")) {
			entry(entry, new StoreUnavailable());
		}
		else if (effect instanceof WriteHomes write) {
			write(entry, write.next());
		}
		else if (effect instanceof ListGuards list) {
			entry(entry, new GuardsListed(List.copyOf(this.guards.keySet()), list.request()));
		}
	}

	private void write(EntryInfo writer, HomeTable next) {
		if (!next.revision().equals(this.homes.revision())) {
			entry(writer, new HomesWriteRefused(this.homes));
			return;
		}
		this.homes = new HomeTable(new Revision(this.homes.revision().value() + 1), next.members(), next.homes(),
				next.epochs());
		entry(writer, this.loseWriteAnswer ? new StoreUnavailable() : new HomesRead(this.homes));
		this.loseWriteAnswer = false;
	}

	private void carryOut(GuardInfo guard, GuardEffect effect) {
		String name = guard.guard().value();
		if (effect instanceof SendToEntry send) {
			this.entries.keySet()
				.stream()
				.filter((entry) -> entry.entry().equals(send.entry())
						&& passes(name, send.entry().value(), send.message()))
				.findFirst()
				.ifPresent(
						(entry) -> entry(entry, new GuardMessage(guard.guard(), guard.incarnation(), send.message())));
		}
		else if (effect instanceof RunTask run) {
			this.starts.add(run.start());
			this.runners.put(run.start().task(), guard);
			this.running.put(run.start().task(), () -> end(guard, run.start(), true));
		}
		else if (effect instanceof AbortTask abort) {
			this.starts.stream()
				.filter((start) -> start.task().equals(abort.task()))
				.findFirst()
				.ifPresent((start) -> end(guard, start, false));
		}
		else if (effect instanceof GuardNotice notice) {
			this.notices.add(notice.notice().kind());
		}
	}

	boolean ranOn(TaskKey task, GuardInfo guard) {
		return guard.equals(this.runners.get(task));
	}

	void end(GuardInfo guard, Start start, boolean success) {
		this.running.remove(start.task());
		guard(guard, new TaskEnded(start.task(), start.attempt(), success, ("answer " + start.task()).getBytes(),
				50_000_000));
	}

	private void deliver(Runnable delivery) {
		this.delivered.add(delivery);
		delivery.run();
	}

	private boolean passes(String from, String to, Message message) {
		return !isCut(from, to) && !this.dropped.test(message);
	}

	private String uuid() {
		return String.format("%012x", millis()).replaceFirst("(.{8})(.{4})", "$1-$2") + "-7000-8000-"
				+ String.format("%012x", ++this.uuids);
	}

}
