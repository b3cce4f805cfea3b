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
import io.coriandermux.core.reply.PendingRequest;

/**
 * Plans and writes changes of the home table: its first content, take-over of the
 * partitions of dead entries, and hand-over of partitions to live entries.
 */
final class HomeTableManager {

	/** Delay before the next write after the store was unavailable. */
	private static final long RETRY_DELAY_MILLIS = 500;

	/** Interval of reads that check whether an unavailable store is available again. */
	private static final long PROBE_INTERVAL_MILLIS = 1_000;

	/** Timeout after which a write without a result is repeated. */
	private static final long WRITE_TIMEOUT_MILLIS = 5_000;

	/**
	 * How much later an entry writes a take-over than the live entry with the next lower
	 * id, so that they do not all write at once.
	 */
	private static final long STAGGER_MILLIS = 1_000;

	/** How long the set of live entries must be unchanged before a hand-over. */
	private static final long MEMBERS_STABLE_MILLIS = 2_000;

	/** Interval of hand-overs; each makes the new homes fence all guards. */
	private static final long HAND_OVER_INTERVAL_MILLIS = 500;

	private final EntryContext context;

	private final PeerRegistry peers;

	private BitSet handingOver = new BitSet(Partition.COUNT);

	private boolean tableRead;

	private boolean ownWritePending;

	private long nextWriteNanos = Long.MIN_VALUE;

	private long nextHandOverNanos = Long.MIN_VALUE;

	private Optional<Moment> orphanedSince = Optional.empty();

	private List<HomeMember> liveMembers = List.of();

	private long liveMembersSinceNanos;

	private boolean storeDown;

	private long nextProbeNanos = Long.MIN_VALUE;

	private boolean shuttingDown;

	private long shutdownStartedNanos;

	HomeTableManager(EntryContext context, PeerRegistry peers) {
		this.context = context;
		this.peers = peers;
	}

	// Applies a home table that was read from the store or sent by a peer.
	Optional<HomeChange> apply(HomeTable table) {
		this.tableRead = true;
		Optional<HomeChange> change = this.context.homes().install(table);
		if (change.isPresent()) {
			this.orphanedSince = Optional.empty();
			if (this.ownWritePending) {
				this.peers.pushHomes();
			}
			this.ownWritePending = false;
		}
		return change;
	}

	// Called when a write has ended, also if its result is unknown.
	void onWriteCompleted() {
		this.handingOver = new BitSet(Partition.COUNT);
		this.nextWriteNanos = Long.MIN_VALUE;
	}

	void onStoreAvailable() {
		this.storeDown = false;
	}

	// Whether a pending write took effect is unknown. This entry keeps serving the
	// partitions under the old epoch; if the write did take effect, the fence of the
	// new home makes the guards refuse that epoch.
	void onStoreUnavailable() {
		if (!this.storeDown) {
			this.nextProbeNanos = this.context.nanosAfter(PROBE_INTERVAL_MILLIS);
		}
		this.storeDown = true;
		onWriteCompleted();
		this.nextWriteNanos = this.context.nanosAfter(RETRY_DELAY_MILLIS);
	}

	void beginShutdown() {
		this.shuttingDown = true;
		this.shutdownStartedNanos = this.context.now().nanos();
		this.peers.sendLeaving();
	}

	// During a shutdown, informs a newly linked entry that this entry is leaving.
	void onPeerConnected(EntryId peer) {
		if (this.shuttingDown) {
			this.context.send(peer, new Leaving(0));
		}
	}

	// Reads from an unavailable store. Watches report only changes, so without this
	// read a store whose content does not change would stay marked as unavailable.
	private void probeStore(long now) {
		if (this.storeDown && now >= this.nextProbeNanos) {
			this.nextProbeNanos = this.context.nanosAfter(PROBE_INTERVAL_MILLIS);
			this.context.addEffect(new ListGuards(0));
		}
	}

	// Writes a new table if partitions have no live home, if this entry is home of more
	// than its share, or if it shuts down.
	void planMoves() {
		long now = this.context.now().nanos();
		probeStore(now);
		List<HomeMember> live = this.peers.liveEntries();
		if (!live.equals(this.liveMembers)) {
			this.liveMembers = live;
			this.liveMembersSinceNanos = now;
		}
		if (!this.tableRead || now < this.nextWriteNanos) {
			return;
		}
		HomeTable table = this.context.homes().table();
		BitSet orphaned = HomePlanner.findOrphaned(table, this.peers::isDead);
		List<HomeMember> targets = this.peers.moveTargets(!this.shuttingDown);
		if (orphaned.isEmpty()) {
			this.orphanedSince = Optional.empty();
			handOver(table, targets);
			return;
		}
		Moment since = this.orphanedSince.orElse(this.context.now());
		this.orphanedSince = Optional.of(since);
		long delayMillis = live.indexOf(this.peers.self()) * STAGGER_MILLIS;
		if (this.context.nanosAfter(-delayMillis) >= since.nanos()) {
			writeTable(HomePlanner.reassign(table, targets, orphaned));
		}
	}

	private void handOver(HomeTable table, List<HomeMember> targets) {
		if (this.storeDown || this.context.now().nanos() < this.nextHandOverNanos) {
			return;
		}
		if (this.shuttingDown) {
			writeHandOver(table, targets, idlePartitions(), Partition.COUNT);
			return;
		}
		if (this.context.nanosAfter(-MEMBERS_STABLE_MILLIS) < this.liveMembersSinceNanos) {
			return;
		}
		int share = (Partition.COUNT + targets.size() - 1) / targets.size();
		int surplus = this.context.homes().ownPartitions().cardinality() - share;
		if (surplus > 0) {
			writeHandOver(table, this.peers.moveTargets(false), idlePartitions(), surplus);
		}
	}

	// Hands over idle partitions only, and holds their new jobs until the write has a
	// result, so that no job changes its home while it runs.
	private void writeHandOver(HomeTable table, List<HomeMember> targets, List<Integer> idle, int limit) {
		BitSet moving = new BitSet(Partition.COUNT);
		idle.stream().limit(limit).forEach(moving::set);
		if (moving.isEmpty() || targets.isEmpty()) {
			return;
		}
		writeTable(HomePlanner.reassign(table, targets, moving));
		this.handingOver = moving;
		this.nextHandOverNanos = this.context.nanosAfter(HAND_OVER_INTERVAL_MILLIS);
	}

	// Returns own partitions without a running job, those without any job record first.
	private List<Integer> idlePartitions() {
		BitSet active = new BitSet(Partition.COUNT);
		BitSet recorded = new BitSet(Partition.COUNT);
		for (JobRecord job : this.context.jobs().all()) {
			(job.isFinished() ? recorded : active).set(job.home().partition().number());
		}
		List<Integer> idle = new ArrayList<>(
				this.context.homes().ownPartitions().stream().filter((number) -> !active.get(number)).boxed().toList());
		idle.sort(Comparator.comparing(recorded::get));
		return idle;
	}

	private void writeTable(Optional<HomeTable> next) {
		next.ifPresent((table) -> {
			this.ownWritePending = true;
			this.nextWriteNanos = this.context.nanosAfter(WRITE_TIMEOUT_MILLIS);
			this.context.publishNotice(NoticeKind.HOMES_WRITTEN, "revision " + table.revision().value(),
					"assigns partitions to " + table.members().size() + " entries");
			this.context.addEffect(new WriteHomes(table));
		});
	}

	boolean isHandingOver(Partition partition) {
		return this.handingOver.get(partition.number());
	}

	boolean isStoreDown() {
		return this.storeDown;
	}

	boolean isShuttingDown() {
		return this.shuttingDown;
	}

	// A request that arrived before the shutdown began counts as in progress and is
	// not refused.
	boolean isRefusedByShutdown(PendingRequest pendingRequest) {
		return this.shuttingDown && pendingRequest.arrivedNanos() > this.shutdownStartedNanos;
	}

	// Whether this entry has no partition left that another entry could take.
	boolean isHandedOver() {
		return this.context.homes().ownPartitions().isEmpty() || this.peers.moveTargets(false).isEmpty();
	}

}
