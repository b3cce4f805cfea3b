package io.coriandermux.proof.journal;

/**
 * The store became reachable or unreachable.
 *
 * @param atNanos simulated time in nanoseconds
 * @param reachable whether the store answers requests
 */
public record StoreReachabilityChanged(long atNanos, boolean reachable) implements Observation {

}
