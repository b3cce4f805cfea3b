package io.coriandermux.core.fence;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.coriandermux.core.home.HomeMember;
import io.coriandermux.core.home.HomeTable;
import io.coriandermux.core.home.TimingLimits;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Epoch;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.PartitionEpoch;
import io.coriandermux.core.message.Fence;
import io.coriandermux.core.message.Start;
import io.coriandermux.core.message.StartRefusal;

/**
 * The highest known epoch of each partition, and the entry that is home under it. A guard
 * uses it to refuse starts of entries that are no longer home.
 */
public final class FenceTable {

	private final long[] epochs = new long[Partition.COUNT];

	private final EntryId[] homes = new EntryId[Partition.COUNT];

	private boolean ready;

	/**
	 * Adopts the epochs of the home table and permits starts from then on.
	 * @param table the table, read after this guard was announced
	 */
	public void onHomesRead(HomeTable table) {
		this.ready = true;
		for (int number = 0; number < Partition.COUNT; number++) {
			Partition partition = new Partition(number);
			long epoch = table.epoch(partition).value();
			if (epoch > this.epochs[number]) {
				this.epochs[number] = epoch;
				this.homes[number] = table.home(partition).map(HomeMember::entry).orElse(null);
			}
		}
	}

	/**
	 * Raises the epochs of partitions. Lower epochs than the known ones are ignored.
	 * @param fence the partitions with their epochs
	 * @param sender the entry that is home of the partitions
	 * @return the previous homes with the partitions that this fence takes from them
	 */
	public Map<EntryId, List<PartitionEpoch>> raise(Fence fence, EntryId sender) {
		Map<EntryId, List<PartitionEpoch>> displaced = new LinkedHashMap<>();
		for (PartitionEpoch raised : fence.epochs()) {
			int number = raised.partition().number();
			if (raised.epoch().value() < this.epochs[number]) {
				continue;
			}
			EntryId previous = this.homes[number];
			if (raised.epoch().value() > this.epochs[number] && previous != null && !previous.equals(sender)) {
				displaced.computeIfAbsent(previous, (key) -> new ArrayList<>()).add(raised);
			}
			this.epochs[number] = raised.epoch().value();
			this.homes[number] = sender;
		}
		return displaced;
	}

	/**
	 * Checks the epoch and the clock echo of a {@code Start}.
	 * @param start the message
	 * @param now the current time
	 * @return why it is refused, or empty if it is permitted
	 */
	public Optional<StartRefusal> checkStart(Start start, Moment now) {
		if (!this.ready) {
			return Optional.of(StartRefusal.NOT_READY);
		}
		int comparison = Long.compare(start.epoch().value(), this.epochs[start.partition().number()]);
		if (comparison != 0) {
			return Optional.of((comparison < 0) ? StartRefusal.STALE_EPOCH : StartRefusal.UNFENCED);
		}
		long age = now.nanos() - start.guardClockEchoNanos();
		// An echo ahead of the clock was read by another incarnation of this guard.
		return (age < 0 || age > TimingLimits.MAX_ECHO_AGE_NANOS) ? Optional.of(StartRefusal.START_EXPIRED)
				: Optional.empty();
	}

	/**
	 * Returns the highest known epoch of a partition.
	 * @param partition the partition
	 * @return its epoch
	 */
	public Epoch epoch(Partition partition) {
		return new Epoch(this.epochs[partition.number()]);
	}

	/**
	 * Returns the entry that is home of a partition under its highest known epoch.
	 * @param partition the partition
	 * @return the entry, or empty if it is unknown
	 */
	public Optional<EntryId> home(Partition partition) {
		return Optional.ofNullable(this.homes[partition.number()]);
	}

	/**
	 * Records the sender of a {@code Start} as home if its epoch is the highest known
	 * one.
	 * @param start the message
	 * @param sender its sender
	 */
	public void recordHome(Start start, EntryId sender) {
		if (start.epoch().equals(epoch(start.partition()))) {
			this.homes[start.partition().number()] = sender;
		}
	}

	/**
	 * Returns whether the home table was read.
	 * @return whether starts are permitted
	 */
	public boolean isReady() {
		return this.ready;
	}

}
