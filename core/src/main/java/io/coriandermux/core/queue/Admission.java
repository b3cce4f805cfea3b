package io.coriandermux.core.queue;

import io.coriandermux.core.api.ReplyCode;

/**
 * The admission decision on a whole job.
 *
 * @param admitted whether its tasks are queued
 * @param code code of the refusal, {@code OK} if admitted
 * @param reason human-readable reason
 * @param retryAfterMillis delay before a retry in milliseconds
 */
public record Admission(boolean admitted, ReplyCode code, String reason, long retryAfterMillis) {

	/** The decision to queue the tasks. */
	public static final Admission ADMITTED = new Admission(true, ReplyCode.OK, "", 0);

}
