package io.coriandermux.core.dispatch;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.run.BatchId;

/**
 * The guards that keep claims of batches, with their links. A guard that is away still
 * counts, because other entries may reach it.
 */
final class ClaimGuards {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/**
	 * With three keepers, of which two have to answer, one that does not respond delays
	 * nothing.
	 */
	private static final int KEEPERS = 3;

	/**
	 * Time after which a guard that is neither listed nor connected keeps no claim and
	 * has no run that matters: a start order may be carried out 12 s late, and its lease
	 * lasts up to 1 s.
	 */
	private static final long FORGET_NANOS = 15_000 * NANOS_PER_MILLI;

	private final Set<GuardId> listed = new LinkedHashSet<>();

	private final Set<GuardId> connected = new LinkedHashSet<>();

	/** Guards without a link, with the time since which there is none. */
	private final Map<GuardId, Long> absent = new LinkedHashMap<>();

	/** Guards that have said that they may have forgotten claims. */
	private final Set<GuardId> incomplete = new LinkedHashSet<>();

	/**
	 * Applies the list of guards.
	 * @param guards the guards that know claims
	 * @param nowNanos the current time on the monotonic clock
	 */
	void onListed(Set<GuardId> guards, long nowNanos) {
		this.listed.clear();
		this.listed.addAll(guards);
		guards.stream()
			.filter((guard) -> !this.connected.contains(guard))
			.forEach((guard) -> this.absent.putIfAbsent(guard, nowNanos));
		expire(nowNanos);
	}

	void onConnected(GuardId guard) {
		this.connected.add(guard);
		this.absent.remove(guard);
		this.incomplete.remove(guard);
	}

	void onLost(GuardId guard, long nowNanos) {
		if (this.connected.remove(guard)) {
			this.absent.put(guard, nowNanos);
		}
	}

	void expire(long nowNanos) {
		this.absent.entrySet()
			.removeIf((guard) -> !this.listed.contains(guard.getKey()) && nowNanos - guard.getValue() >= FORGET_NANOS);
	}

	void recordCompleteness(GuardId guard, boolean complete) {
		if (complete) {
			this.incomplete.remove(guard);
		}
		else {
			this.incomplete.add(guard);
		}
	}

	/**
	 * Returns whether a guard can answer for all claims that may matter.
	 * @param guard the guard
	 * @return whether it is connected and has not said that it may have forgotten claims
	 */
	boolean canAnswer(GuardId guard) {
		return isConnected(guard) && !this.incomplete.contains(guard);
	}

	/**
	 * Returns whether no guard is listed that knows claims, as while all guards run the
	 * previous version.
	 * @return whether batches start without a claim
	 */
	boolean isEmpty() {
		return this.listed.isEmpty();
	}

	boolean isConnected(GuardId guard) {
		return this.connected.contains(guard) && this.listed.contains(guard);
	}

	List<GuardId> connected() {
		return this.connected.stream().filter(this.listed::contains).toList();
	}

	/**
	 * Returns whether some guard has been away for less than the given time.
	 * @param nanos the time
	 * @param nowNanos the current time on the monotonic clock
	 * @return whether one may still run or start something
	 */
	boolean isAnyAbsentFor(long nanos, long nowNanos) {
		return this.absent.values().stream().anyMatch((since) -> nowNanos - since < nanos);
	}

	boolean isAbsentFor(GuardId guard, long nanos, long nowNanos) {
		Long since = this.absent.get(guard);
		return since != null && nowNanos - since >= nanos;
	}

	/**
	 * Returns the guards that keep the claims of a batch. Entries with the same list
	 * choose the same guards, and each guard that differs changes at most one of them.
	 * @param batch the batch
	 * @return three guards, or one if fewer than three are known
	 */
	List<GuardId> keepersOf(BatchId batch) {
		Set<GuardId> known = new LinkedHashSet<>(this.listed);
		known.addAll(this.absent.keySet());
		return known.stream()
			.sorted(Comparator.comparingLong((GuardId guard) -> HashMixer.hash(batch.value(), guard.value()))
				.thenComparing(GuardId::value))
			// Of two keepers both would have to answer.
			.limit((known.size() < KEEPERS) ? 1 : KEEPERS)
			.toList();
	}

}
