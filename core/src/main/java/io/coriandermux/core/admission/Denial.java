package io.coriandermux.core.admission;

import io.coriandermux.core.api.ReplyCode;

/**
 * The reason why a job is not admitted to the queue.
 *
 * @param code the reason
 * @param reason human-readable reason
 * @param retryAfterMillis delay before a retry in milliseconds, 0 if a retry is pointless
 */
public record Denial(ReplyCode code, String reason, long retryAfterMillis) {
}
