package io.coriandermux.core.message;

import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.id.TaskKey;

/**
 * Asks a guard to abort a task.
 *
 * @param task the task
 * @param cause why the job cannot become complete; goes into the ledger, where a later
 * home of the job finds it
 * @param ended whether the sender knows that the task has ended; then its ledger entry
 * shows the failure of the job even if the task itself is done
 */
public record CancelTask(TaskKey task, ReplyCode cause, boolean ended) implements Message {

	/**
	 * Asks to abort a task that may run.
	 * @param task the task
	 * @param cause why the job cannot become complete
	 * @return the message
	 */
	public static CancelTask abort(TaskKey task, ReplyCode cause) {
		return new CancelTask(task, cause, false);
	}

}
