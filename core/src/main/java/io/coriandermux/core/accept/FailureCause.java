package io.coriandermux.core.accept;

import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.ReplyCode;

/**
 * The reason why a job cannot complete.
 *
 * @param outcome outcome of the task that caused it
 * @param code the reply code
 * @param reason the reason as text
 */
public record FailureCause(Outcome outcome, ReplyCode code, String reason) {

}
