package io.coriandermux.core.entry;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import io.coriandermux.core.accept.JobRecord;
import io.coriandermux.core.home.HomeChange;
import io.coriandermux.core.home.HomeMember;
import io.coriandermux.core.home.HomePlanner;
import io.coriandermux.core.home.HomeTable;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.message.Leaving;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.reply.Waiter;

/**
 * Decides on the home table: its first content, take-over from dead entries, and
 * hand-over to live ones.
 */
final class HomeStage {

	/** Interval of attempts after a failure of the store. */
	private static final long RETRY_MILLIS = 500;

	/** Interval of reads from a store that did not answer. */
	private static final long PROBE_MILLIS = 1_000;

	/** A write that is not reported within this time is repeated. */
	private static final long WRITE_MILLIS = 5_000;

	/**
	 * How much later than the live entry with the next lower id an entry acts, so that
	 * not all of them write at the same time.
	 */
	private static final long TURN_MILLIS = 1_000;

	/** How long the entries must be the same before partitions are handed over. */
	private static final long STABLE_MILLIS = 2_000;

	/** Interval of hand-overs: each makes the new homes fence all guards. */
	private static final long HAND_MILLIS = 500;

	private final EntryContext context;

	private final PeerStage peers;

	private BitSet releasing = new BitSet(Partition.COUNT);

	private boolean tableRead;

	private boolean wroteHere;

	private long notBeforeNanos = Long.MIN_VALUE;

	private long handNotBeforeNanos = Long.MIN_VALUE;

	private Optional<Moment> orphanedSince = Optional.empty();

	private List<HomeMember> members = List.of();

	private long membersSinceNanos;

	private boolean storeDown;

	private long probeNotBeforeNanos = Long.MIN_VALUE;

	private boolean shuttingDown;

	private long shutDownNanos;

	HomeStage(EntryContext context, PeerStage peers) {
		this.context = context;
		this.peers = peers;
	}

	// Puts a table in force; the store answered if it was read there.
	Optional<HomeChange> read(HomeTable table) {
		this.tableRead = true;
		Optional<HomeChange> change = this.context.homes().adopt(table);
		if (change.isPresent()) {
			this.orphanedSince = Optional.empty();
			if (this.wroteHere) {
				this.peers.push();
			}
			this.wroteHere = false;
		}
		return change;
	}

	// The write under way has a result, whatever it is.
	void written() {
		this.releasing = new BitSet(Partition.COUNT);
		this.notBeforeNanos = Long.MIN_VALUE;
	}

	void storeAnswered() {
		this.storeDown = false;
	}

	// The effect of a write is unknown. The partitions are served on under the old epoch:
	// if the write had an effect, the fence of the new home ends that.
	void storeFailed() {
		if (!this.storeDown) {
			this.probeNotBeforeNanos = this.context.nanosIn(PROBE_MILLIS);
		}
		this.storeDown = true;
		written();
		this.notBeforeNanos = this.context.nanosIn(RETRY_MILLIS);
	}

	void shutDown() {
		this.shuttingDown = true;
		this.shutDownNanos = this.context.now().nanos();
		this.peers.tellLeaving();
	}

	// A new link to another entry is up.
	void linked(EntryId peer) {
		if (this.shuttingDown) {
			this.context.send(peer, new Leaving(0));
		}
	}

	// Reads from a store that did not answer. Watches report changes only, so without
	// this read a quiet store would count as down for good.
	private void probe(long now) {
		if (this.storeDown && now >= this.probeNotBeforeNanos) {
			this.probeNotBeforeNanos = this.context.nanosIn(PROBE_MILLIS);
			this.context.effect(new ListGuards(0));
		}
	}

	// Writes the table if partitions have no live home or this entry has too many.
	void plan() {
		long now = this.context.now().nanos();
		probe(now);
		List<HomeMember> live = this.peers.live();
		if (!live.equals(this.members)) {
			this.members = live;
			this.membersSinceNanos = now;
		}
		if (!this.tableRead || now < this.notBeforeNanos) {
			return;
		}
		HomeTable table = this.context.homes().table();
		BitSet orphaned = HomePlanner.orphaned(table, this.peers::isDead);
		List<HomeMember> targets = this.peers.targets(!this.shuttingDown);
		if (orphaned.isEmpty()) {
			this.orphanedSince = Optional.empty();
			release(table, targets);
			return;
		}
		Moment since = this.orphanedSince.orElse(this.context.now());
		this.orphanedSince = Optional.of(since);
		long turn = live.indexOf(this.peers.self()) * TURN_MILLIS;
		if (this.context.nanosIn(-turn) >= since.nanos()) {
			write(HomePlanner.move(table, targets, orphaned));
		}
	}

	private void release(HomeTable table, List<HomeMember> targets) {
		if (this.storeDown || this.context.now().nanos() < this.handNotBeforeNanos) {
			return;
		}
		if (this.shuttingDown) {
			hand(table, targets, idle(), Partition.COUNT);
			return;
		}
		if (this.context.nanosIn(-STABLE_MILLIS) < this.membersSinceNanos) {
			return;
		}
		int share = (Partition.COUNT + targets.size() - 1) / targets.size();
		int surplus = this.context.homes().own().cardinality() - share;
		if (surplus > 0) {
			hand(table, this.peers.targets(false), idle(), surplus);
		}
	}

	// Only partitions without a running job are handed over, and their new jobs wait
	// until
	// the write has a result, so that no job changes its home while it runs.
	private void hand(HomeTable table, List<HomeMember> targets, List<Integer> idle, int limit) {
		BitSet moving = new BitSet(Partition.COUNT);
		idle.stream().limit(limit).forEach(moving::set);
		if (moving.isEmpty() || targets.isEmpty()) {
			return;
		}
		write(HomePlanner.move(table, targets, moving));
		this.releasing = moving;
		this.handNotBeforeNanos = this.context.nanosIn(HAND_MILLIS);
	}

	// Own partitions without a running job, those without any record first.
	private List<Integer> idle() {
		BitSet busy = new BitSet(Partition.COUNT);
		BitSet recorded = new BitSet(Partition.COUNT);
		for (JobRecord job : this.context.jobs().all()) {
			(job.isFinished() ? recorded : busy).set(job.home().partition().number());
		}
		List<Integer> idle = new ArrayList<>(
				this.context.homes().own().stream().filter((number) -> !busy.get(number)).boxed().toList());
		idle.sort(Comparator.comparing(recorded::get));
		return idle;
	}

	private void write(Optional<HomeTable> next) {
		next.ifPresent((table) -> {
			this.wroteHere = true;
			this.notBeforeNanos = this.context.nanosIn(WRITE_MILLIS);
			this.context.notice(NoticeKind.HOMES_WRITTEN, "revision " + table.revision().value(),
					"moves partitions to " + table.members().size() + " entries");
			this.context.effect(new WriteHomes(table));
		});
	}

	boolean isReleasing(Partition partition) {
		return this.releasing.get(partition.number());
	}

	boolean isStoreDown() {
		return this.storeDown;
	}

	boolean isShuttingDown() {
		return this.shuttingDown;
	}

	// A request that waited for its home when the shutdown began is in progress, so it is
	// not refused.
	boolean isClosedTo(Waiter waiter) {
		return this.shuttingDown && waiter.arrivedNanos() > this.shutDownNanos;
	}

	// Whether no partition is left that another entry could take.
	boolean isHandedOver() {
		return this.context.homes().own().isEmpty() || this.peers.targets(false).isEmpty();
	}

}
