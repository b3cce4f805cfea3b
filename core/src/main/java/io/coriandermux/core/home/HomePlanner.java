package io.coriandermux.core.home;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import io.coriandermux.core.id.Partition;

/**
 * Assigns partitions to entries.
 */
public final class HomePlanner {

	private HomePlanner() {
	}

	/**
	 * Reassigns partitions evenly to the least loaded live entries and increments the
	 * epochs of these partitions.
	 * @param table the current table
	 * @param live the entries that may become home, in a fixed order that decides between
	 * equally loaded ones
	 * @param moving numbers of the partitions to reassign
	 * @return the new table, with the revision of the current one, or empty if no
	 * partition is reassigned
	 */
	public static Optional<HomeTable> reassign(HomeTable table, List<HomeMember> live, BitSet moving) {
		if (live.isEmpty() || moving.isEmpty()) {
			return Optional.empty();
		}
		Map<HomeMember, Integer> partitionCounts = countPartitions(table, live, moving);
		List<HomeMember> members = new ArrayList<>();
		List<Integer> homes = new ArrayList<>();
		List<Long> epochs = new ArrayList<>();
		for (int number = 0; number < Partition.COUNT; number++) {
			Partition partition = new Partition(number);
			Optional<HomeMember> home = table.home(partition);
			long epoch = table.epoch(partition).value();
			if (moving.get(number)) {
				home = Optional.of(leastLoaded(partitionCounts));
				partitionCounts.merge(home.get(), 1, Integer::sum);
				epoch++;
			}
			epochs.add(epoch);
			homes.add(home.map((member) -> indexOf(members, member)).orElse(-1));
		}
		return Optional.of(new HomeTable(table.revision(), members, homes, epochs));
	}

	/**
	 * Finds the partitions without a live home.
	 * @param table the current table
	 * @param isDead whether an entry is dead
	 * @return numbers of these partitions
	 */
	public static BitSet findOrphaned(HomeTable table, Predicate<HomeMember> isDead) {
		BitSet orphaned = new BitSet(Partition.COUNT);
		boolean[] deadMembers = new boolean[table.members().size()];
		for (int index = 0; index < deadMembers.length; index++) {
			deadMembers[index] = isDead.test(table.members().get(index));
		}
		for (int number = 0; number < Partition.COUNT; number++) {
			int home = table.homes().get(number);
			orphaned.set(number, home < 0 || deadMembers[home]);
		}
		return orphaned;
	}

	private static Map<HomeMember, Integer> countPartitions(HomeTable table, List<HomeMember> live, BitSet moving) {
		Map<HomeMember, Integer> partitionCounts = new LinkedHashMap<>();
		live.forEach((member) -> partitionCounts.put(member, 0));
		for (int number = 0; number < Partition.COUNT; number++) {
			if (!moving.get(number)) {
				table.home(new Partition(number))
					.ifPresent((member) -> partitionCounts.computeIfPresent(member, (key, count) -> count + 1));
			}
		}
		return partitionCounts;
	}

	private static HomeMember leastLoaded(Map<HomeMember, Integer> partitionCounts) {
		return partitionCounts.entrySet().stream().min(Map.Entry.comparingByValue()).orElseThrow().getKey();
	}

	private static int indexOf(List<HomeMember> members, HomeMember member) {
		if (!members.contains(member)) {
			members.add(member);
		}
		return members.indexOf(member);
	}

}
