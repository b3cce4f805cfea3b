package io.coriandermux.core.home;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Predicate;

import io.coriandermux.core.id.EndpointName;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.member.GuardInfo;

/**
 * Progress of one take-over, in which this entry became home of partitions by a change of
 * the home table. Tracks the guards that were listed after the change and those that have
 * answered the fence, and decides what is known about jobs of the previous home.
 */
public final class TakeOver {

	/**
	 * Maximum time that placement waits for the fence answers of linked guards, in
	 * nanoseconds. Guards that answer later are not used until they have answered.
	 */
	public static final long PLACEMENT_TIMEOUT_NANOS = 200_000_000L;

	/**
	 * Maximum time that decisions on jobs of the previous home wait for the fence answers
	 * of all listed guards, in nanoseconds. It equals the time after which a silent peer
	 * is declared dead.
	 */
	public static final long COLLECTION_TIMEOUT_NANOS = 3_000_000_000L;

	private final BitSet partitions;

	private final boolean firstAssignment;

	private final long firstRequest;

	private final Moment startedAt;

	private final Map<GuardId, FenceReport> fenceReports = new LinkedHashMap<>();

	private Map<GuardId, GuardInfo> listedGuards;

	private boolean placementAllowed;

	private boolean collected;

	/**
	 * Starts a take-over.
	 * @param partitions numbers of the partitions
	 * @param firstAssignment whether the partitions had no home before
	 * @param firstRequest number of the first request for a list of guards after the
	 * change of the home table
	 * @param now the current time
	 */
	public TakeOver(BitSet partitions, boolean firstAssignment, long firstRequest, Moment now) {
		this.partitions = (BitSet) partitions.clone();
		this.firstAssignment = firstAssignment;
		this.firstRequest = firstRequest;
		this.startedAt = now;
	}

	/**
	 * Stores the list of guards that was read after the change of the home table. A guard
	 * that is missing from it reads the new epochs before it accepts tasks.
	 * @param guards the announcements of all guards
	 * @param request number of the request that the list answers
	 */
	public void onGuardsListed(List<GuardInfo> guards, long request) {
		if (this.listedGuards == null && request >= this.firstRequest) {
			this.listedGuards = new LinkedHashMap<>();
			guards.forEach((info) -> this.listedGuards.put(info.guard(), info));
		}
	}

	/**
	 * Records that a guard holds the new epochs and that its ledger entries were
	 * received.
	 * @param guard the guard
	 * @param startedAtEpochMillis when the guard process started, wall clock
	 * @param now the current time
	 */
	public void onFenceAnswered(GuardId guard, long startedAtEpochMillis, Moment now) {
		this.fenceReports.putIfAbsent(guard, new FenceReport(startedAtEpochMillis, now.epochMillis()));
	}

	/**
	 * Checks whether the waits for fence answers have ended.
	 * @param linkedFenced whether every linked guard has answered
	 * @param isDead whether a guard is known to be dead
	 * @param now the current time
	 * @return whether the wait for the listed guards ended with this call
	 */
	public boolean advance(boolean linkedFenced, Predicate<GuardId> isDead, Moment now) {
		long age = now.nanos() - this.startedAt.nanos();
		this.placementAllowed = this.placementAllowed || linkedFenced || age >= PLACEMENT_TIMEOUT_NANOS;
		boolean wasCollected = this.collected;
		this.collected = wasCollected || (this.firstAssignment && this.placementAllowed)
				|| (this.listedGuards != null && (age >= COLLECTION_TIMEOUT_NANOS || haveAllReported(isDead)));
		return this.collected && !wasCollected;
	}

	private boolean haveAllReported(Predicate<GuardId> isDead) {
		return this.listedGuards.keySet()
			.stream()
			.allMatch((guard) -> this.fenceReports.containsKey(guard) || isDead.test(guard));
	}

	/**
	 * Returns whether the collected ledgers prove that a task without an entry in them
	 * was not started.
	 * @param mayHaveRun whether tasks of the job's owner may have run on an endpoint
	 * @param createdAtMillis creation time of the job, wall clock
	 * @param history the guards that were removed from the list
	 * @return whether the ledger of every guard that may have run the task was read
	 */
	public boolean provesNotStarted(Predicate<EndpointName> mayHaveRun, long createdAtMillis, GuardHistory history) {
		if (this.firstAssignment) {
			return true;
		}
		long earliestCreated = createdAtMillis - TimingLimits.MAX_SKEW_MILLIS;
		if (this.listedGuards == null || history.observedSinceMillis().isEmpty()
				|| earliestCreated <= history.observedSinceMillis().getAsLong()) {
			return false;
		}
		boolean listedComplete = this.listedGuards.values()
			.stream()
			.filter((info) -> mayHaveRun.test(info.endpoint()))
			.allMatch((info) -> isLedgerComplete(info.guard(), earliestCreated));
		return listedComplete && history.removedGuards()
			.stream()
			.filter((removed) -> mayHaveRun.test(removed.guard().endpoint()))
			.allMatch((removed) -> earliestCreated > removed.removedAtEpochMillis()
					|| isLedgerComplete(removed.guard().guard(), earliestCreated));
	}

	private boolean isLedgerComplete(GuardId guard, long earliestCreated) {
		FenceReport report = this.fenceReports.get(guard);
		// The ledger is lost when the guard restarts, so a previous incarnation may have
		// started tasks of jobs that are older than the guard process.
		return report != null && earliestCreated > report.startedAtMillis();
	}

	/**
	 * Returns when the majority of the listed guards of a pool was fenced.
	 * @param inPool whether an endpoint belongs to the pool
	 * @return wall clock in milliseconds, or empty if no majority is fenced yet
	 */
	public OptionalLong majorityFencedAtMillis(Predicate<EndpointName> inPool) {
		if (this.listedGuards == null) {
			return OptionalLong.empty();
		}
		List<GuardId> members = this.listedGuards.values()
			.stream()
			.filter((info) -> inPool.test(info.endpoint()))
			.map(GuardInfo::guard)
			.toList();
		if (members.isEmpty()) {
			return OptionalLong.of(this.startedAt.epochMillis());
		}
		long[] times = members.stream()
			.filter(this.fenceReports::containsKey)
			.mapToLong((guard) -> this.fenceReports.get(guard).fencedAtMillis())
			.sorted()
			.toArray();
		int majority = members.size() / 2;
		return (times.length > majority) ? OptionalLong.of(times[majority]) : OptionalLong.empty();
	}

	/**
	 * Returns the numbers of the partitions that this entry is still home of.
	 * @return the live set; the caller clears the partitions that move to another entry
	 */
	public BitSet partitions() {
		return this.partitions;
	}

	/**
	 * Returns whether the partitions had no home before.
	 * @return whether there is no previous home
	 */
	public boolean isFirstAssignment() {
		return this.firstAssignment;
	}

	/**
	 * Returns whether tasks of the partitions may be placed.
	 * @return whether the wait for linked guards has ended
	 */
	public boolean isPlacementAllowed() {
		return this.placementAllowed;
	}

	/**
	 * Returns whether jobs of the previous home can be decided on.
	 * @return whether the wait for listed guards has ended
	 */
	public boolean hasCollectedLedgers() {
		return this.collected;
	}

	/**
	 * Returns whether a list of guards was read after the change of the home table.
	 * @return whether the list is present
	 */
	public boolean hasGuardList() {
		return this.listedGuards != null;
	}

	/**
	 * Returns the number of listed guards that have not answered the fence.
	 * @return the number, 0 before the list was read
	 */
	public int unansweredGuards() {
		return (this.listedGuards == null) ? 0
				: (int) this.listedGuards.keySet()
					.stream()
					.filter((guard) -> !this.fenceReports.containsKey(guard))
					.count();
	}

	/**
	 * Returns when the take-over started.
	 * @return the time
	 */
	public Moment startedAt() {
		return this.startedAt;
	}

	private record FenceReport(long startedAtMillis, long fencedAtMillis) {

	}

}
