package io.coriandermux.proof.journal;

/**
 * A request failed without a reply: its connection was closed or the caller timed out.
 *
 * @param atNanos simulated time in nanoseconds
 * @param requestNumber number of the request
 * @param timedOut whether the caller timed out
 */
public record RequestFailed(long atNanos, long requestNumber, boolean timedOut) implements Observation {

}
