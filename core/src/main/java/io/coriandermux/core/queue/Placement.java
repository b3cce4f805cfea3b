package io.coriandermux.core.queue;

import io.coriandermux.core.id.GuardId;

/**
 * A decision to start a task at a guard. It uses one credit of the guard.
 *
 * @param task the task
 * @param guard the guard
 * @param shortWork whether the task is predicted to be short
 * @param queued number of tasks that still wait for the pool
 */
public record Placement(QueuedTask task, GuardId guard, boolean shortWork, int queued) {

}
