package io.coriandermux.core.message;

import java.util.List;

import io.coriandermux.core.id.PartitionEpoch;

/**
 * One page of a guard's response to a {@link Fence}.
 *
 * @param epochs the partitions with the guard's current epochs
 * @param entries ledger entries of these partitions
 * @param last whether this is the last page
 * @param startedAtEpochMillis start time of the guard process in milliseconds since
 * 1970-01-01 UTC, wall clock
 */
public record FenceAnswer(List<PartitionEpoch> epochs, List<LedgerEntry> entries, boolean last,
		long startedAtEpochMillis) implements Message {

}
