package io.coriandermux.core.home;

import java.util.BitSet;
import java.util.Optional;

import io.coriandermux.core.id.Epoch;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.PartitionEpoch;

/**
 * The home table that an entry currently uses, and the highest epoch that guards have
 * reported for each partition. A higher epoch than the one in the table shows that the
 * table is stale.
 */
public final class HomeView {

	private final HomeMember self;

	private final long[] reportedEpochs = new long[Partition.COUNT];

	private final BitSet ownPartitions = new BitSet(Partition.COUNT);

	private HomeTable table = HomeTable.EMPTY;

	/**
	 * Creates the view of an entry that has not read a table yet.
	 * @param self the entry
	 */
	public HomeView(HomeMember self) {
		this.self = self;
	}

	/**
	 * Replaces the current table by one with a higher revision.
	 * @param next the table
	 * @return what changes for this entry, or empty if the revision is not higher
	 */
	public Optional<HomeChange> install(HomeTable next) {
		if (next.revision().compareTo(this.table.revision()) <= 0) {
			return Optional.empty();
		}
		HomeTable previous = this.table;
		this.table = next;
		BitSet gained = new BitSet(Partition.COUNT);
		BitSet lost = new BitSet(Partition.COUNT);
		for (int number = 0; number < Partition.COUNT; number++) {
			Partition partition = new Partition(number);
			boolean sameEpoch = next.epoch(partition).equals(previous.epoch(partition));
			boolean isHome = next.home(partition).filter(this.self::equals).isPresent()
					&& this.reportedEpochs[number] <= next.epoch(partition).value();
			if (this.ownPartitions.get(number) && !(isHome && sameEpoch)) {
				lost.set(number);
			}
			if (isHome && !(this.ownPartitions.get(number) && sameEpoch)) {
				gained.set(number);
			}
			this.ownPartitions.set(number, isHome);
		}
		return Optional.of(new HomeChange(gained, lost));
	}

	/**
	 * Records the epoch that a guard holds.
	 * @param held a partition with the guard's epoch
	 * @return whether this entry is no longer home of the partition because of it
	 */
	public boolean recordGuardEpoch(PartitionEpoch held) {
		int number = held.partition().number();
		this.reportedEpochs[number] = Math.max(this.reportedEpochs[number], held.epoch().value());
		if (this.ownPartitions.get(number) && this.reportedEpochs[number] > epoch(held.partition()).value()) {
			this.ownPartitions.clear(number);
			return true;
		}
		return false;
	}

	/**
	 * Returns whether this entry is home of a partition, according to the table and the
	 * epochs that guards have reported.
	 * @param partition the partition
	 * @return whether this entry is home
	 */
	public boolean isHome(Partition partition) {
		return this.ownPartitions.get(partition.number());
	}

	/**
	 * Returns whether a guard has reported a higher epoch than the current table.
	 * @param partition the partition
	 * @return whether the table is stale for the partition
	 */
	public boolean isStale(Partition partition) {
		return this.reportedEpochs[partition.number()] > epoch(partition).value();
	}

	/**
	 * Returns the partitions of which this entry is home.
	 * @return a copy of the set
	 */
	public BitSet ownPartitions() {
		return (BitSet) this.ownPartitions.clone();
	}

	/**
	 * Returns the home of a partition in the current table.
	 * @param partition the partition
	 * @return its home, or empty if it has none
	 */
	public Optional<HomeMember> home(Partition partition) {
		return this.table.home(partition);
	}

	/**
	 * Returns the epoch of a partition in the current table.
	 * @param partition the partition
	 * @return its epoch
	 */
	public Epoch epoch(Partition partition) {
		return this.table.epoch(partition);
	}

	/**
	 * Returns the current table.
	 * @return the table
	 */
	public HomeTable table() {
		return this.table;
	}

}
