package io.coriandermux.core.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Set;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.run.BatchId;

/**
 * Selects the guards that keep the claims of a batch.
 */
final class ClaimKeepers {

	/**
	 * With three keepers, of which two have to answer, one that does not respond delays
	 * nothing.
	 */
	private static final int COUNT = 3;

	private ClaimKeepers() {
	}

	/**
	 * Returns the guards that keep the claims of a batch. Entries that know the same
	 * guards select the same ones, and each guard that differs changes at most one of
	 * them.
	 * @param batch the batch
	 * @param known the known guards
	 * @return three guards, or one if fewer than three are known
	 */
	static List<GuardId> select(BatchId batch, Set<GuardId> known) {
		return known.stream()
			.sorted(Comparator.comparingLong((GuardId guard) -> HashMixer.hash(batch.value(), guard.value()))
				.thenComparing(GuardId::value))
			// Of two keepers both would have to answer.
			.limit((known.size() < COUNT) ? 1 : COUNT)
			.toList();
	}

}
