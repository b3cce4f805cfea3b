package io.coriandermux.core.guard;

import io.coriandermux.core.id.AttemptId;
import io.coriandermux.core.id.TaskKey;

/**
 * The request of a task at the endpoint ended.
 *
 * @param task the task
 * @param attempt the attempt
 * @param success whether the endpoint succeeded
 * @param body the response, or the reason of the failure as text
 * @param runNanos time at the endpoint in nanoseconds
 */
public record TaskEnded(TaskKey task, AttemptId attempt, boolean success, byte[] body,
		long runNanos) implements GuardEvent {

	/** Prefix of the reason of a task that the guard aborted at its time limit. */
	public static final String TIME_LIMIT_REASON = "time limit";

	/**
	 * Prefix of the reason of a task that its home aborted; the code of the cause
	 * follows.
	 */
	public static final String ABORT_REASON = "aborted because the job ended as ";

}
