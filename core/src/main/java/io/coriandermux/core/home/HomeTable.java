package io.coriandermux.core.home;

import java.util.Collections;
import java.util.List;
import java.util.Optional;

import io.coriandermux.core.id.Epoch;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.Revision;

/**
 * Maps each partition to its home and epoch.
 *
 * @param revision modification revision in the platform store, 0 before the first write
 * @param members the entries that are home of partitions
 * @param homes index into {@code members} by partition number, -1 if none
 * @param epochs epoch by partition number
 */
public record HomeTable(Revision revision, List<HomeMember> members, List<Integer> homes, List<Long> epochs) {

	/** The table of a process that has not read one yet. */
	public static final HomeTable EMPTY = new HomeTable(new Revision(0), List.of(),
			Collections.nCopies(Partition.COUNT, -1), Collections.nCopies(Partition.COUNT, 0L));

	/**
	 * Returns the home of a partition.
	 * @param partition the partition
	 * @return its home, or empty if it has none
	 */
	public Optional<HomeMember> home(Partition partition) {
		int index = this.homes.get(partition.number());
		return (index < 0) ? Optional.empty() : Optional.of(this.members.get(index));
	}

	/**
	 * Returns the epoch of a partition.
	 * @param partition the partition
	 * @return its epoch
	 */
	public Epoch epoch(Partition partition) {
		return new Epoch(this.epochs.get(partition.number()));
	}

}
