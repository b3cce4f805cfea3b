package io.coriandermux.core.home;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.member.GuardInfo;

/**
 * The guards in the current list, and those that were removed from it recently. The
 * ledger of a removed guard cannot be read, so tasks that may have run on it must not be
 * started again.
 */
public final class GuardHistory {

	/**
	 * Longest outage of the store, in nanoseconds, in which no guard can register, run
	 * tasks and deregister without being listed: its drain would have to fit into the
	 * outage.
	 */
	static final long MAX_TOLERATED_OUTAGE_NANOS = 10_000_000_000L;

	private final long keepMillis;

	private Map<GuardId, GuardInfo> guards = new LinkedHashMap<>();

	private final ArrayDeque<RemovedGuard> removedGuards = new ArrayDeque<>();

	private long observedSinceMillis;

	private boolean observed;

	private boolean storeDown;

	private long outageStartNanos;

	/**
	 * Creates the history of an entry that has not read a list yet.
	 * @param keepMillis how long removed guards are kept, in milliseconds
	 */
	public GuardHistory(long keepMillis) {
		this.keepMillis = keepMillis;
	}

	/**
	 * Replaces the list of guards.
	 * @param guards the announcements of all guards
	 * @param now the current time
	 */
	public void onGuardsListed(List<GuardInfo> guards, Moment now) {
		Map<GuardId, GuardInfo> next = new LinkedHashMap<>();
		guards.forEach((info) -> next.put(info.guard(), info));
		boolean longOutage = this.storeDown && now.nanos() - this.outageStartNanos > MAX_TOLERATED_OUTAGE_NANOS;
		if (!this.observed || longOutage) {
			this.observed = true;
			this.observedSinceMillis = now.epochMillis();
		}
		this.storeDown = false;
		this.guards.values()
			.stream()
			.filter((info) -> !next.containsKey(info.guard()))
			.forEach((info) -> this.removedGuards.add(new RemovedGuard(info, now.epochMillis())));
		this.guards = next;
		while (!this.removedGuards.isEmpty()
				&& now.epochMillis() - this.removedGuards.peek().removedAtEpochMillis() > this.keepMillis) {
			this.removedGuards.poll();
		}
	}

	/**
	 * Records that a call to the store failed.
	 * @param now the current time
	 */
	public void onStoreFailed(Moment now) {
		if (!this.storeDown) {
			this.storeDown = true;
			this.outageStartNanos = now.nanos();
		}
	}

	/**
	 * Returns the listed guards.
	 * @return the guards in the order of the list
	 */
	public Collection<GuardInfo> guards() {
		return this.guards.values();
	}

	/**
	 * Returns the guards that were removed from the list within the retention.
	 * @return the removed guards, oldest first
	 */
	public List<RemovedGuard> removedGuards() {
		return new ArrayList<>(this.removedGuards);
	}

	/**
	 * Returns since when every removal of a guard has been observed.
	 * @return wall clock in milliseconds, or empty if no list was read
	 */
	public OptionalLong observedSinceMillis() {
		return this.observed ? OptionalLong.of(this.observedSinceMillis) : OptionalLong.empty();
	}

}
