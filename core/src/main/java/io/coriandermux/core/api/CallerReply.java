package io.coriandermux.core.api;

/**
 * A reply to a caller.
 */
public sealed interface CallerReply permits JobOutcome, JobRunning, JobIdReserved, Refusal {

}
