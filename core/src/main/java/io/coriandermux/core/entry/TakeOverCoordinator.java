package io.coriandermux.core.entry;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.coriandermux.core.home.HomeView;
import io.coriandermux.core.home.RecoveredTasks;
import io.coriandermux.core.home.TakeOver;
import io.coriandermux.core.home.TimingLimits;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.JobId;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.PartitionEpoch;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.table.Pool;

/**
 * Take-overs in progress, and finished ones that still affect decisions. Fences all
 * guards and determines whether a previous home may have started a job.
 */
final class TakeOverCoordinator {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final long LIST_RETRY_INTERVAL_MILLIS = 1_000;

	private final EntryContext context;

	private final GuardRegistry guards;

	private final RecoveredTasks recoveredTasks;

	private final List<TakeOver> takeOvers = new ArrayList<>();

	private long listRequest;

	private long nextListNanos = Long.MIN_VALUE;

	TakeOverCoordinator(EntryContext context, GuardRegistry guards) {
		this.context = context;
		this.guards = guards;
		this.recoveredTasks = new RecoveredTasks(TimingLimits.keepNanos(context.settings().retentionMillis()));
	}

	void begin(BitSet gained) {
		this.listRequest++;
		BitSet withoutHome = new BitSet(Partition.COUNT);
		HomeView homes = this.context.homes();
		// The first table sets epoch 1, so a higher epoch means that there was a previous
		// home.
		gained.stream().filter((number) -> homes.epoch(new Partition(number)).value() == 1).forEach(withoutHome::set);
		BitSet inherited = (BitSet) gained.clone();
		inherited.andNot(withoutHome);
		add(withoutHome, true);
		add(inherited, false);
		this.guards.links()
			.stream()
			.map((link) -> link.info().guard())
			.toList()
			.forEach((guard) -> this.guards.fence(guard, gained));
		this.context.addEffect(new ListGuards(this.listRequest));
		this.nextListNanos = this.context.nanosAfter(LIST_RETRY_INTERVAL_MILLIS);
	}

	private void add(BitSet partitions, boolean firstAssignment) {
		if (!partitions.isEmpty()) {
			this.takeOvers.add(new TakeOver(partitions, firstAssignment, this.listRequest, this.context.now()));
			this.context.publishNotice(NoticeKind.TAKE_OVER_STARTED, partitions.cardinality() + " partitions",
					firstAssignment ? "they had no home" : "taken over from their previous homes");
		}
	}

	void removePartitions(BitSet lost) {
		this.takeOvers.forEach((takeOver) -> takeOver.partitions().andNot(lost));
		this.takeOvers.removeIf((takeOver) -> takeOver.partitions().isEmpty());
		this.recoveredTasks.remove(lost);
	}

	private void requestMissingLists() {
		boolean listMissing = this.takeOvers.stream()
			.anyMatch((takeOver) -> !takeOver.isFirstAssignment() && !takeOver.hasGuardList());
		if (listMissing && this.context.now().nanos() >= this.nextListNanos) {
			this.listRequest++;
			this.nextListNanos = this.context.nanosAfter(LIST_RETRY_INTERVAL_MILLIS);
			this.context.addEffect(new ListGuards(this.listRequest));
		}
	}

	// A take-over uses only a list that was read after the change of the home table.
	void onGuardsListed(GuardsListed listed) {
		this.takeOvers.forEach((takeOver) -> takeOver.onGuardsListed(listed.guards(), listed.request()));
	}

	void onFenceAnswered(GuardId guard, long startedAtEpochMillis) {
		GuardLink link = this.guards.link(guard).orElseThrow();
		this.takeOvers.stream()
			.filter((takeOver) -> link.isFenced(takeOver.partitions()))
			.forEach((takeOver) -> takeOver.onFenceAnswered(guard, startedAtEpochMillis, this.context.now()));
	}

	// Returns the partitions whose held requests are to be retried now.
	BitSet advance() {
		BitSet ready = new BitSet(Partition.COUNT);
		requestMissingLists();
		for (TakeOver takeOver : this.takeOvers) {
			boolean wasOpen = takeOver.isPlacementAllowed();
			boolean allLinkedFenced = this.guards.links()
				.stream()
				.allMatch((link) -> link.isFenced(takeOver.partitions()));
			if (takeOver.advance(allLinkedFenced, this.guards::isDead, this.context.now())) {
				this.context.publishNotice(NoticeKind.TAKE_OVER_FINISHED,
						takeOver.partitions().cardinality() + " partitions", takeOver.unansweredGuards()
								+ " guards did not answer, recovered tasks of " + this.recoveredTasks.size() + " jobs");
				ready.or(takeOver.partitions());
			}
			if (takeOver.isPlacementAllowed() && !wasOpen) {
				this.guards.requestRefresh();
				ready.or(takeOver.partitions());
			}
		}
		return ready;
	}

	void expire() {
		this.recoveredTasks.expire(this.context.now());
		this.takeOvers.removeIf(this::isExpired);
	}

	// A take-over is kept until every job id that may be older than its fence has
	// expired.
	private boolean isExpired(TakeOver takeOver) {
		if (takeOver.isFirstAssignment() || !takeOver.hasCollectedLedgers()) {
			return takeOver.hasCollectedLedgers();
		}
		long fencedAtMillis = takeOver.startedAt().epochMillis() + TakeOver.COLLECTION_TIMEOUT_NANOS / NANOS_PER_MILLI;
		for (Pool pool : this.context.tables().pools().values()) {
			OptionalLong fenced = takeOver.majorityFencedAtMillis(pool::contains);
			if (fenced.isEmpty()) {
				return false;
			}
			fencedAtMillis = Math.max(fencedAtMillis, fenced.getAsLong());
		}
		return this.context.now().epochMillis() - fencedAtMillis > this.context.settings().retentionMillis()
				+ TimingLimits.FENCE_MARGIN_MILLIS;
	}

	Optional<TakeOver> find(Partition partition) {
		for (int i = this.takeOvers.size() - 1; i >= 0; i--) {
			if (this.takeOvers.get(i).partitions().get(partition.number())) {
				return Optional.of(this.takeOvers.get(i));
			}
		}
		return Optional.empty();
	}

	// Returns own partitions that a guard must have fenced before tasks are placed on it.
	BitSet openPartitions() {
		BitSet open = this.context.homes().ownPartitions();
		this.takeOvers.stream()
			.filter((takeOver) -> !takeOver.isPlacementAllowed())
			.forEach((takeOver) -> open.andNot(takeOver.partitions()));
		return open;
	}

	// Whether the job was created so late that no previous home can have started it.
	boolean isNewerThanTakeOver(JobKey key, TakeOver takeOver, Partition partition, long createdAtMillis) {
		if (takeOver.isFirstAssignment()) {
			return true;
		}
		Optional<PartitionEpoch> issued = new JobId(key.job()).partitionEpoch();
		if (issued.isPresent()) {
			return issued.get().epoch().compareTo(this.context.homes().epoch(partition)) >= 0;
		}
		for (Pool pool : this.context.pools().poolsOpenTo(key.owner())) {
			OptionalLong fenced = takeOver.majorityFencedAtMillis(pool::contains);
			if (fenced.isEmpty() || createdAtMillis <= fenced.getAsLong() + TimingLimits.FENCE_MARGIN_MILLIS) {
				return false;
			}
		}
		return true;
	}

	boolean areAllStartsKnown(JobKey key, TakeOver takeOver, long createdAtMillis) {
		return takeOver.provesNotStarted((endpoint) -> this.context.pools().mayHaveRun(key.owner(), endpoint),
				createdAtMillis, this.guards.history());
	}

	RecoveredTasks recoveredTasks() {
		return this.recoveredTasks;
	}

	int openingPartitionCount() {
		return this.takeOvers.stream()
			.filter((takeOver) -> !takeOver.isPlacementAllowed() || !takeOver.hasCollectedLedgers())
			.mapToInt((takeOver) -> takeOver.partitions().cardinality())
			.sum();
	}

}
