package io.coriandermux.core.api;

/**
 * The refusal of a request. The outcome states what is known about the job:
 * {@code NOT_RUN} guarantees that no task runs because of the request, {@code UNDECIDED}
 * makes no statement about a run.
 *
 * @param outcome {@code NOT_RUN}, {@code OUTCOME_UNKNOWN} or {@code UNDECIDED}
 * @param code reason code
 * @param reason human-readable reason
 * @param retryAfterMillis delay before a retry in milliseconds, 0 if a retry is pointless
 */
public record Refusal(Outcome outcome, ReplyCode code, String reason, long retryAfterMillis) implements CallerReply {

}
