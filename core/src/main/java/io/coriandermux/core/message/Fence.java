package io.coriandermux.core.message;

import java.util.List;

import io.coriandermux.core.id.PartitionEpoch;

/**
 * Raises the epochs of partitions at a guard and requests its ledger entries for them.
 *
 * @param epochs the partitions with their new epochs
 */
public record Fence(List<PartitionEpoch> epochs) implements Message {

}
