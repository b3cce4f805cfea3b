package io.coriandermux.core.reply;

import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.id.JobKey;

/**
 * A job that did not complete, as kept in the failure log of its owner.
 *
 * @param job the job
 * @param outcome its outcome
 * @param code the reply code
 * @param reason the reason as text
 * @param atEpochMillis when it ended, wall clock
 */
public record JobFailure(JobKey job, Outcome outcome, ReplyCode code, String reason, long atEpochMillis) {

}
