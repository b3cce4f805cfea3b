package io.coriandermux.proof.journal;

/**
 * The simulation changed the state of a process.
 *
 * @param atNanos simulated time in nanoseconds
 * @param process the process
 * @param incarnation its incarnation
 * @param state the new state
 */
public record ProcessStateChanged(long atNanos, String process, long incarnation,
		ProcessState state) implements Observation {

}
