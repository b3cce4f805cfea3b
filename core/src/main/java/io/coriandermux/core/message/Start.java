package io.coriandermux.core.message;

import io.coriandermux.core.id.AttemptId;
import io.coriandermux.core.id.Epoch;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.TaskKey;

/**
 * Requests that a guard starts a task.
 *
 * @param task the task
 * @param attempt the attempt
 * @param partition the partition of the job
 * @param epoch the sender's epoch of the partition
 * @param guardClockEchoNanos the guard's clock reading from the last heartbeat that the
 * sender received before it checked its home lease; the guard refuses the start if the
 * reading is too old
 * @param path path of the request at the endpoint
 * @param payload body of the request
 * @param timeLimitMillis time after which the guard aborts the task, in milliseconds
 * @param shortWork whether the task is predicted to be short
 * @param queued number of tasks that still wait at the sender for this guard's endpoint
 */
public record Start(TaskKey task, AttemptId attempt, Partition partition, Epoch epoch, long guardClockEchoNanos,
		String path, byte[] payload, long timeLimitMillis, boolean shortWork, int queued) implements Message {

}
