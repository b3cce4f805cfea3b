package io.coriandermux.core.dispatch;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The processes of one kind that record claims of batches, with their links. One that is
 * away still counts, because other entries may reach it.
 *
 * @param <I> id of a process
 */
final class ClaimMembers<I> {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/**
	 * Time after which a process that is neither listed nor connected has no claim and no
	 * run that matters: a start order may be carried out 12 s late, and its lease lasts
	 * up to 1 s.
	 */
	private static final long FORGET_NANOS = 15_000 * NANOS_PER_MILLI;

	private final Set<I> listed = new LinkedHashSet<>();

	private final Set<I> connected = new LinkedHashSet<>();

	/** Processes without a link, with the time since which there is none. */
	private final Map<I, Long> absent = new LinkedHashMap<>();

	/**
	 * Processes that were not known when others were, with the time since which they are.
	 */
	private final Map<I, Long> joined = new LinkedHashMap<>();

	/** Processes that have said that they may have forgotten claims. */
	private final Set<I> incomplete = new LinkedHashSet<>();

	/**
	 * Applies the list of processes.
	 * @param members the processes that know claims
	 * @param nowNanos the current time on the monotonic clock
	 */
	void onListed(Set<I> members, long nowNanos) {
		Set<I> known = known();
		if (!known.isEmpty()) {
			members.stream()
				.filter((member) -> !known.contains(member))
				.forEach((member) -> this.joined.put(member, nowNanos));
		}
		this.listed.clear();
		this.listed.addAll(members);
		members.stream()
			.filter((member) -> !this.connected.contains(member))
			.forEach((member) -> this.absent.putIfAbsent(member, nowNanos));
		expire(nowNanos);
	}

	/**
	 * Adds a process to the list until the next list is applied.
	 * @param member a process that knows claims
	 */
	void list(I member) {
		this.listed.add(member);
	}

	void onConnected(I member) {
		this.connected.add(member);
		this.absent.remove(member);
		this.incomplete.remove(member);
	}

	void onLost(I member, long nowNanos) {
		if (this.connected.remove(member)) {
			this.absent.put(member, nowNanos);
		}
	}

	void expire(long nowNanos) {
		this.absent.entrySet()
			.removeIf(
					(member) -> !this.listed.contains(member.getKey()) && nowNanos - member.getValue() >= FORGET_NANOS);
		this.joined.values().removeIf((since) -> nowNanos - since >= FORGET_NANOS);
	}

	/**
	 * Returns whether a process was not known a short time ago. It was not asked for the
	 * claims of batches that are in progress.
	 * @param member the process
	 * @param nowNanos the current time on the monotonic clock
	 * @return whether claims that were made before it was known may matter
	 */
	boolean hasJustJoined(I member, long nowNanos) {
		Long since = this.joined.get(member);
		return since != null && nowNanos - since < FORGET_NANOS;
	}

	void recordCompleteness(I member, boolean complete) {
		if (complete) {
			this.incomplete.remove(member);
		}
		else {
			this.incomplete.add(member);
		}
	}

	/**
	 * Returns whether a process can answer for all claims that may matter.
	 * @param member the process
	 * @return whether it is connected and has not said that it may have forgotten claims
	 */
	boolean canAnswer(I member) {
		return isConnected(member) && !this.incomplete.contains(member);
	}

	/**
	 * Returns whether no process is listed that knows claims.
	 * @return whether the list is empty
	 */
	boolean isEmpty() {
		return this.listed.isEmpty();
	}

	boolean isConnected(I member) {
		return this.connected.contains(member) && this.listed.contains(member);
	}

	List<I> connected() {
		return this.connected.stream().filter(this.listed::contains).toList();
	}

	/**
	 * Returns whether some process has been away for less than the given time.
	 * @param nanos the time
	 * @param nowNanos the current time on the monotonic clock
	 * @return whether one may still run or start something
	 */
	boolean isAnyAbsentFor(long nanos, long nowNanos) {
		return this.absent.values().stream().anyMatch((since) -> nowNanos - since < nanos);
	}

	/**
	 * Returns whether some listed process has no link. It may be alive, and other entries
	 * may use it.
	 * @return whether one is away, for however long
	 */
	boolean isAnyListedAbsent() {
		return this.absent.keySet().stream().anyMatch(this.listed::contains);
	}

	boolean isAbsentFor(I member, long nanos, long nowNanos) {
		Long since = this.absent.get(member);
		return since != null && nowNanos - since >= nanos;
	}

	/**
	 * Returns the processes that may have recorded a claim.
	 * @return those that are listed and those that are away since a short time
	 */
	Set<I> known() {
		Set<I> known = new LinkedHashSet<>(this.listed);
		known.addAll(this.absent.keySet());
		return known;
	}

}
