package io.coriandermux.core.table;

/**
 * Weight and quota of an owner in a pool.
 *
 * @param weight weight of the owner's queue in fair queueing, at least 1
 * @param maxInFlight maximum number of started tasks of the owner at a time, per entry
 */
public record OwnerShare(int weight, int maxInFlight) {

}
