package io.coriandermux.core.api;

import java.util.List;

/**
 * The final outcome of a job. The answers are present only if the job is complete.
 *
 * @param job the job id
 * @param outcome the outcome
 * @param code reason code, {@code OK} if complete
 * @param reason human-readable reason
 * @param tasks result of each task, in the order of the tasks
 */
public record JobOutcome(String job, Outcome outcome, ReplyCode code, String reason,
		List<TaskResult> tasks) implements CallerReply {

}
