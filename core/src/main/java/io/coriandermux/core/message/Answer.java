package io.coriandermux.core.message;

import io.coriandermux.core.id.AttemptId;
import io.coriandermux.core.id.TaskKey;

/**
 * Reports the end of a task to its home. It can return the credit that the task used.
 *
 * @param task the task
 * @param attempt the attempt that started it
 * @param state final state of the task
 * @param body body of the endpoint's response, or the failure reason as text
 * @param bodyComplete whether the body is complete; false if the ledger dropped it to
 * stay within its byte limit
 * @param runNanos run time at the endpoint in nanoseconds
 * @param freeSlots number of free slots at the guard
 * @param creditReturned whether the answer grants the home a new credit in place of the
 * one used
 */
public record Answer(TaskKey task, AttemptId attempt, LedgerState state, byte[] body, boolean bodyComplete,
		long runNanos, int freeSlots, boolean creditReturned) implements Message {

}
