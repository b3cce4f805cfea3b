package io.coriandermux.core.id;

/**
 * A partition with the epoch of its home.
 *
 * @param partition the partition
 * @param epoch the epoch
 */
public record PartitionEpoch(Partition partition, Epoch epoch) {

}
