package io.coriandermux.proof.journal;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.TaskKey;

/**
 * An endpoint received a task.
 *
 * @param atNanos simulated time in nanoseconds
 * @param guard the guard beside the endpoint
 * @param task the task that the headers of the request identify
 * @param payload payload of the task
 */
public record TaskStarted(long atNanos, GuardId guard, TaskKey task, byte[] payload) implements Observation {

}
