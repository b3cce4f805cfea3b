package io.coriandermux.core.message;

import io.coriandermux.core.id.AttemptId;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.TaskKey;

/**
 * A record in a guard's ledger of a task that the guard started.
 *
 * @param task the task
 * @param partition partition of its job
 * @param attempt the attempt that started it
 * @param contentHash hash of path and payload, see
 * {@link io.coriandermux.core.accept.ContentHash}
 * @param state its state
 * @param body body of the answer; empty while the task runs, or if it was dropped to stay
 * within the byte limit
 * @param bodyComplete whether the body is complete
 * @param runNanos run time at the endpoint in nanoseconds, 0 while the task runs
 */
public record LedgerEntry(TaskKey task, Partition partition, AttemptId attempt, long contentHash, LedgerState state,
		byte[] body, boolean bodyComplete, long runNanos) {

}
