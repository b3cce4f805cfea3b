package io.coriandermux.proof.journal;

/**
 * An operator received the result of an edit.
 *
 * @param atNanos simulated time in nanoseconds
 * @param edit id of the edit
 * @param result the result, as traces state it
 */
public record EditSettled(long atNanos, String edit, String result) implements Observation {

}
