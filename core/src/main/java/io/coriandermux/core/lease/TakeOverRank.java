package io.coriandermux.core.lease;

import java.util.Comparator;

import io.coriandermux.core.id.EntryIncarnation;

/**
 * Position of a take-over among those of the same batch. All guards order them in the
 * same way, so of two entries that take a batch over at the same time only one is granted
 * it by all guards.
 *
 * @param number number of the take-over
 * @param entry the entry that takes the batch over
 */
record TakeOverRank(long number, EntryIncarnation entry) implements Comparable<TakeOverRank> {

	private static final Comparator<TakeOverRank> ORDER = Comparator.comparingLong(TakeOverRank::number)
		.thenComparing((rank) -> rank.entry().entry())
		.thenComparing((rank) -> rank.entry().incarnation());

	@Override
	public int compareTo(TakeOverRank other) {
		return ORDER.compare(this, other);
	}

}
