package io.coriandermux.proof.journal;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.TaskKey;

/**
 * A task finished at its endpoint.
 *
 * @param atNanos simulated time in nanoseconds
 * @param guard the guard beside the endpoint
 * @param task the task
 * @param success whether the task succeeded
 * @param body body of the endpoint's response
 */
public record TaskFinished(long atNanos, GuardId guard, TaskKey task, boolean success,
		byte[] body) implements Observation {

}
