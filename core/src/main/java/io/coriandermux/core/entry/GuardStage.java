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
import io.coriandermux.core.home.HomeTimes;
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
 * Links to guards: fencing, credits, the guards' clocks and the home lease. The scheduler
 * may use a guard only while the guard holds this entry's epochs.
 */
final class GuardStage {

	private final EntryContext context;

	private final Map<GuardId, GuardLink> links = new LinkedHashMap<>();

	private final Map<GuardId, Incarnation> dead = new LinkedHashMap<>();

	private final GuardHistory history;

	private long uses;

	private long version;

	private boolean refreshDue;

	GuardStage(EntryContext context) {
		this.context = context;
		this.history = new GuardHistory(context.settings().retentionMillis() + HomeTimes.YOUNGER_MILLIS);
	}

	// Credits end at both ends and the fence is repeated, since a message of the former
	// link may be lost.
	// Returns the guard if a former incarnation of it is lost by that.
	Optional<GuardId> connected(GuardInfo info) {
		GuardId guard = info.guard();
		boolean restarted = this.links.containsKey(guard) && link(guard, info.incarnation()).isEmpty();
		this.version++;
		this.refreshDue = true;
		down(guard);
		this.dead.remove(guard);
		this.links.put(guard, new GuardLink(info));
		fence(guard, this.context.homes().own());
		return restarted ? Optional.of(guard) : Optional.empty();
	}

	boolean lost(GuardId guard, Incarnation incarnation) {
		if (link(guard, incarnation).isEmpty()) {
			return false;
		}
		this.version++;
		this.refreshDue = true;
		down(guard);
		this.links.remove(guard);
		this.dead.put(guard, incarnation);
		return true;
	}

	void listed(List<GuardInfo> guards) {
		this.version++;
		this.history.listed(guards, this.context.now());
		this.dead.keySet().retainAll(guards.stream().map(GuardInfo::guard).toList());
	}

	GuardHistory history() {
		return this.history;
	}

	// Whether a guard was found dead and has not come back.
	boolean isDead(GuardId guard) {
		return this.dead.containsKey(guard) && !this.links.containsKey(guard);
	}

	void fence(GuardId guard, BitSet partitions) {
		List<PartitionEpoch> epochs = new ArrayList<>();
		partitions.stream()
			.mapToObj(Partition::new)
			.forEach((partition) -> epochs.add(new PartitionEpoch(partition, this.context.homes().epoch(partition))));
		GuardLink link = this.links.get(guard);
		this.refreshDue = true;
		link.fenced().andNot(partitions);
		if (!epochs.isEmpty()) {
			link.fenceSent(this.context.now().nanos());
			this.context.send(guard, new Fence(epochs));
		}
	}

	// Notes epochs that a guard has confirmed.
	void fenced(GuardId guard, List<PartitionEpoch> epochs) {
		this.refreshDue = true;
		GuardLink link = this.links.get(guard);
		epochs.stream()
			.filter((held) -> this.context.homes().isOwn(held.partition()))
			.filter((held) -> held.epoch().equals(this.context.homes().epoch(held.partition())))
			.forEach((held) -> link.fenced().set(held.partition().number()));
		if (link.isFenced(this.context.homes().own())) {
			link.acknowledged(link.fenceSentNanos());
		}
	}

	void heartbeat(GuardId guard, Heartbeat heartbeat) {
		GuardLink link = this.links.get(guard);
		this.refreshDue |= !link.isUsable();
		link.heard(heartbeat.clockNanos());
		// Before its first fence is answered the guard may hold a higher epoch, so its
		// acknowledgement does not confirm the home yet.
		if (heartbeat.isEchoOf(this.context.settings().self().incarnation())
				&& link.isFenced(this.context.homes().own())) {
			link.acknowledged(heartbeat.echoNanos());
		}
	}

	void credited(GuardId guard, int count) {
		GuardLink link = this.links.get(guard);
		if (link.isUsable()) {
			this.context.scheduler().credited(guard, count);
		}
		else {
			link.heldCredits(link.heldCredits() + count);
		}
	}

	void recalled(GuardId guard, int count) {
		GuardLink link = this.links.get(guard);
		int given;
		if (link.isUsable()) {
			given = this.context.scheduler().recalled(guard, count);
		}
		else {
			given = Math.min(count, link.heldCredits());
			link.heldCredits(link.heldCredits() - given);
		}
		this.context.send(guard, new Release(given));
	}

	void pause(GuardId guard, long untilNanos) {
		this.refreshDue = true;
		this.links.get(guard).pausedUntil(untilNanos);
	}

	// Whether the usable guards may have changed. A pause ends with a heartbeat.
	boolean isRefreshDue() {
		return this.refreshDue;
	}

	void refreshDue() {
		this.refreshDue = true;
	}

	// Tells the scheduler which guards it may use. Returns the guards whose former link
	// may
	// have lost messages.
	List<GuardId> refresh(BitSet required) {
		this.refreshDue = false;
		List<GuardId> repeat = new ArrayList<>();
		for (GuardLink link : this.links.values()) {
			boolean usable = link.isHeard() && link.isFenced(required) && !link.isPaused(this.context.now().nanos());
			if (usable && !link.isUsable()) {
				up(link);
				if (link.takeRepeatDue()) {
					repeat.add(link.info().guard());
				}
			}
			else if (!usable && link.isUsable()) {
				down(link.info().guard());
			}
		}
		return repeat;
	}

	void leaving(GuardId guard) {
		this.links.get(guard).leaving();
		this.context.scheduler().guardLeaving(guard);
	}

	private void up(GuardLink link) {
		GuardId guard = link.info().guard();
		link.usable(true);
		link.use(++this.uses);
		this.context.scheduler().guardUp(link.info(), this.context.now());
		if (link.heldCredits() > 0) {
			this.context.scheduler().credited(guard, link.heldCredits());
			link.heldCredits(0);
		}
		if (link.isLeaving()) {
			this.context.scheduler().guardLeaving(guard);
		}
	}

	private void down(GuardId guard) {
		GuardLink link = this.links.get(guard);
		if (link != null && link.isUsable()) {
			link.usable(false);
			link.heldCredits(this.context.scheduler().recalled(guard, Integer.MAX_VALUE));
			this.context.scheduler().guardDown(guard);
		}
	}

	// Rises with each change of the set of guards.
	long version() {
		return this.version;
	}

	// Number of listed or linked guards of a pool.
	int members(Pool pool) {
		return (int) known().values().stream().filter((info) -> pool.contains(info.endpoint())).count();
	}

	// Time of the newest heartbeat that a majority of the pool's guards has acknowledged.
	OptionalLong majorityAcknowledged(Pool pool) {
		long[] times = known().values()
			.stream()
			.filter((info) -> pool.contains(info.endpoint()))
			.map((info) -> link(info.guard()).filter(GuardLink::isAcknowledged))
			.flatMap(Optional::stream)
			.mapToLong(GuardLink::ackNanos)
			.sorted()
			.toArray();
		int majority = members(pool) / 2 + 1;
		return (times.length >= majority) ? OptionalLong.of(times[times.length - majority]) : OptionalLong.empty();
	}

	private Map<GuardId, GuardInfo> known() {
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

	int usable() {
		return (int) this.links.values().stream().filter(GuardLink::isUsable).count();
	}

	int confirmed(Moment now) {
		long since = now.nanos() - HomeTimes.LEASE_NANOS;
		return (int) this.links.values().stream().filter((link) -> link.isAcknowledgedSince(since)).count();
	}

}
