package io.coriandermux.proof.journal;

/**
 * The store accepted a write of the configuration.
 *
 * @param atNanos simulated time in nanoseconds
 * @param revision revision that the write was given
 */
public record ConfigAccepted(long atNanos, long revision) implements Observation {

}
