package io.coriandermux.core.message;

import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.id.TaskKey;

/**
 * Requests that a guard aborts a task.
 *
 * @param task the task
 * @param cause why the job can no longer complete; recorded in the ledger, from which a
 * later home of the job reads it
 * @param taskEnded whether the task has ended according to the sender; its ledger entry
 * then records the failure of the job even if the task itself succeeded
 */
public record CancelTask(TaskKey task, ReplyCode cause, boolean taskEnded) implements Message {

	/**
	 * Creates a request to abort a task that may be running.
	 * @param task the task
	 * @param cause why the job can no longer complete
	 * @return the message
	 */
	public static CancelTask abort(TaskKey task, ReplyCode cause) {
		return new CancelTask(task, cause, false);
	}

}
