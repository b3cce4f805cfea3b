package io.coriandermux.core.entry;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import io.coriandermux.core.home.GuardHistory;
import io.coriandermux.core.home.TimingLimits;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.PartitionEpoch;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.message.Fence;
import io.coriandermux.core.message.Heartbeat;
import io.coriandermux.core.message.Release;
import io.coriandermux.core.table.Pool;

/**
 * Registry of the links to guards with their fences, credits, clocks and acknowledged
 * heartbeats. The scheduler may use a guard only while the guard holds this entry's
 * epochs.
 */
final class GuardRegistry {

	private final EntryContext context;

	private final Map<GuardId, GuardLink> links = new LinkedHashMap<>();

	private final Map<GuardId, Incarnation> lostGuards = new LinkedHashMap<>();

	private final GuardHistory history;

	private long lastUsagePeriod;

	private long guardSetVersion;

	private boolean refreshDue;

	GuardRegistry(EntryContext context) {
		this.context = context;
		this.history = new GuardHistory(context.settings().retentionMillis() + TimingLimits.FENCE_MARGIN_MILLIS);
	}

	// Both ends drop the credits and the fence is repeated, since messages of the
	// previous link may be lost. Returns the guard if the link replaces one to a previous
	// incarnation, which counts as lost.
	Optional<GuardId> onConnected(GuardInfo info) {
		GuardId guard = info.guard();
		boolean restarted = this.links.containsKey(guard) && link(guard, info.incarnation()).isEmpty();
		this.guardSetVersion++;
		this.refreshDue = true;
		disable(guard);
		this.lostGuards.remove(guard);
		this.links.put(guard, new GuardLink(info));
		fence(guard, this.context.homes().ownPartitions());
		return restarted ? Optional.of(guard) : Optional.empty();
	}

	boolean onLost(GuardId guard, Incarnation incarnation) {
		if (link(guard, incarnation).isEmpty()) {
			return false;
		}
		this.guardSetVersion++;
		this.refreshDue = true;
		disable(guard);
		this.links.remove(guard);
		this.lostGuards.put(guard, incarnation);
		return true;
	}

	void onListed(List<GuardInfo> guards) {
		this.guardSetVersion++;
		this.history.onGuardsListed(guards, this.context.now());
		this.lostGuards.keySet().retainAll(guards.stream().map(GuardInfo::guard).toList());
	}

	GuardHistory history() {
		return this.history;
	}

	// Whether a guard was reported lost and has not reconnected.
	boolean isDead(GuardId guard) {
		return this.lostGuards.containsKey(guard) && !this.links.containsKey(guard);
	}

	void fence(GuardId guard, BitSet partitions) {
		List<PartitionEpoch> epochs = new ArrayList<>();
		partitions.stream()
			.mapToObj(Partition::new)
			.forEach((partition) -> epochs.add(new PartitionEpoch(partition, this.context.homes().epoch(partition))));
		GuardLink link = this.links.get(guard);
		this.refreshDue = true;
		link.fencedPartitions().andNot(partitions);
		if (!epochs.isEmpty()) {
			link.recordFenceSent(this.context.now().nanos());
			this.context.send(guard, new Fence(epochs));
		}
	}

	// Records the epochs that a guard has confirmed.
	void onFenced(GuardId guard, List<PartitionEpoch> epochs) {
		this.refreshDue = true;
		GuardLink link = this.links.get(guard);
		epochs.stream()
			.filter((held) -> this.context.homes().isHome(held.partition()))
			.filter((held) -> held.epoch().equals(this.context.homes().epoch(held.partition())))
			.forEach((held) -> link.fencedPartitions().set(held.partition().number()));
		if (link.isFenced(this.context.homes().ownPartitions())) {
			link.recordAcknowledgement(link.fenceSentNanos());
		}
	}

	void onHeartbeat(GuardId guard, Heartbeat heartbeat) {
		GuardLink link = this.links.get(guard);
		this.refreshDue |= !link.isUsable();
		link.recordClock(heartbeat.clockNanos());
		// Until the fence is answered the guard may hold a higher epoch, so its
		// acknowledgement does not confirm this home.
		if (heartbeat.isEchoOf(this.context.settings().self().incarnation())
				&& link.isFenced(this.context.homes().ownPartitions())) {
			link.recordAcknowledgement(heartbeat.echoNanos());
		}
	}

	void addCredits(GuardId guard, int count) {
		GuardLink link = this.links.get(guard);
		if (link.isUsable()) {
			this.context.scheduler().onCreditsGranted(guard, count);
		}
		else {
			link.setHeldCredits(link.heldCredits() + count);
		}
	}

	void onRecall(GuardId guard, int count) {
		GuardLink link = this.links.get(guard);
		int released;
		if (link.isUsable()) {
			released = this.context.scheduler().releaseCredits(guard, count);
		}
		else {
			released = Math.min(count, link.heldCredits());
			link.setHeldCredits(link.heldCredits() - released);
		}
		this.context.send(guard, new Release(released));
	}

	void pause(GuardId guard, long untilNanos) {
		this.refreshDue = true;
		this.links.get(guard).pauseUntil(untilNanos);
	}

	// Whether the set of usable guards may have changed. The next heartbeat after a
	// pause makes the refresh due.
	boolean isRefreshDue() {
		return this.refreshDue;
	}

	void requestRefresh() {
		this.refreshDue = true;
	}

	// Updates the guards that the scheduler may use. Returns the guards whose previous
	// link may have lost messages.
	List<GuardId> refreshUsable(BitSet required) {
		this.refreshDue = false;
		List<GuardId> toResend = new ArrayList<>();
		for (GuardLink link : this.links.values()) {
			boolean usable = link.isClockKnown() && link.isFenced(required)
					&& !link.isPaused(this.context.now().nanos());
			if (usable && !link.isUsable()) {
				enable(link);
				if (link.takeResendDue()) {
					toResend.add(link.info().guard());
				}
			}
			else if (!usable && link.isUsable()) {
				disable(link.info().guard());
			}
		}
		return toResend;
	}

	void onLeaving(GuardId guard) {
		this.links.get(guard).markLeaving();
		this.context.scheduler().onGuardDraining(guard);
	}

	private void enable(GuardLink link) {
		GuardId guard = link.info().guard();
		link.setUsable(true);
		link.setUsagePeriod(++this.lastUsagePeriod);
		this.context.scheduler().onGuardConnected(link.info(), this.context.now());
		if (link.heldCredits() > 0) {
			this.context.scheduler().onCreditsGranted(guard, link.heldCredits());
			link.setHeldCredits(0);
		}
		if (link.isLeaving()) {
			this.context.scheduler().onGuardDraining(guard);
		}
	}

	private void disable(GuardId guard) {
		GuardLink link = this.links.get(guard);
		if (link != null && link.isUsable()) {
			link.setUsable(false);
			link.setHeldCredits(this.context.scheduler().releaseCredits(guard, Integer.MAX_VALUE));
			this.context.scheduler().onGuardDisconnected(guard);
		}
	}

	// Increases with each change of the set of guards.
	long guardSetVersion() {
		return this.guardSetVersion;
	}

	// Returns the number of listed or linked guards of a pool.
	int memberCount(Pool pool) {
		return (int) knownGuards().values().stream().filter((info) -> pool.contains(info.endpoint())).count();
	}

	// Returns the time of the newest heartbeat that a majority of the pool's guards has
	// acknowledged.
	OptionalLong majorityAcknowledgedNanos(Pool pool) {
		long[] times = knownGuards().values()
			.stream()
			.filter((info) -> pool.contains(info.endpoint()))
			.map((info) -> link(info.guard()).filter(GuardLink::isAcknowledged))
			.flatMap(Optional::stream)
			.mapToLong(GuardLink::acknowledgedNanos)
			.sorted()
			.toArray();
		int majority = memberCount(pool) / 2 + 1;
		return (times.length >= majority) ? OptionalLong.of(times[times.length - majority]) : OptionalLong.empty();
	}

	private Map<GuardId, GuardInfo> knownGuards() {
		Map<GuardId, GuardInfo> known = new LinkedHashMap<>();
		this.history.guards().forEach((info) -> known.put(info.guard(), info));
		this.links.forEach((guard, link) -> known.put(guard, link.info()));
		return known;
	}

	Optional<GuardLink> link(GuardId guard, Incarnation incarnation) {
		return Optional.ofNullable(this.links.get(guard)).filter((link) -> link.isIncarnation(incarnation));
	}

	Optional<GuardLink> link(GuardId guard) {
		return Optional.ofNullable(this.links.get(guard));
	}

	Collection<GuardLink> links() {
		return this.links.values();
	}

	int usableCount() {
		return (int) this.links.values().stream().filter(GuardLink::isUsable).count();
	}

	int confirmedCount(Moment now) {
		long since = now.nanos() - TimingLimits.LEASE_NANOS;
		return (int) this.links.values().stream().filter((link) -> link.isAcknowledgedSince(since)).count();
	}

}
