package io.coriandermux.proof.journal;

/**
 * The last fault of the run has ended.
 *
 * @param atNanos simulated time in nanoseconds
 */
public record FaultsEnded(long atNanos) implements Observation {

}
