package io.coriandermux.core.queue;

import io.coriandermux.core.api.TaskSpec;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.id.RouteName;
import io.coriandermux.core.id.TaskKey;

/**
 * A task that waits at the home of its job.
 *
 * @param task the task
 * @param partition partition of its job
 * @param route its route
 * @param pool its pool
 * @param spec the task as submitted
 * @param deadlineNanos deadline of the reply to its job, in nanoseconds on the monotonic
 * clock
 */
public record QueuedTask(TaskKey task, Partition partition, RouteName route, PoolName pool, TaskSpec spec,
		long deadlineNanos) {

}
