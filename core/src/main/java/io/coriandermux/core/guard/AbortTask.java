package io.coriandermux.core.guard;

import io.coriandermux.core.id.TaskKey;

/**
 * Aborts the request of a task at the endpoint.
 *
 * @param task the task
 */
public record AbortTask(TaskKey task) implements GuardEffect {

}
