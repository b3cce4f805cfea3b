package io.coriandermux.core.message;

import io.coriandermux.core.id.AttemptId;
import io.coriandermux.core.id.Epoch;
import io.coriandermux.core.id.TaskKey;

/**
 * Reports that a guard refused an attempt to start a task, so that the task did not start
 * because of it.
 *
 * @param task the task
 * @param attempt the refused attempt
 * @param reason why the task was not started
 * @param epoch the guard's current epoch of the partition
 */
public record Refused(TaskKey task, AttemptId attempt, StartRefusal reason, Epoch epoch) implements Message {

}
