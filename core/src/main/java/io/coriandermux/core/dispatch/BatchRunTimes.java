package io.coriandermux.core.dispatch;

import io.coriandermux.core.estimate.RunTimeEstimate;
import io.coriandermux.core.estimate.RunTimeEstimator;
import io.coriandermux.core.id.OwnerId;

/**
 * Learns the run times of routes and the speeds of endpoints from the tasks that are
 * done.
 */
final class BatchRunTimes {

	/** Run times of batches are estimated by route, since requests name no owner. */
	private static final OwnerId ANY_OWNER = new OwnerId("any");

	private final RunTimeEstimator estimator = new RunTimeEstimator();

	/**
	 * Estimates the run time of a task of a batch.
	 * @param route the route of the batch
	 * @param tasks the tasks of the batch
	 * @return the estimate
	 */
	RunTimeEstimate estimate(BatchRoute route, TaskGroup tasks) {
		return this.estimator.estimate(route.name(), ANY_OWNER, tasks.declaredMillis());
	}

	/**
	 * Records the run time of a task.
	 * @param task the task
	 */
	void onTaskDone(BatchTask task) {
		Batch batch = task.batch;
		this.estimator.observe(batch.route().name(), ANY_OWNER, batch.request().tasks().declaredMillis(),
				(long) (task.runNanos() / task.ranAt().speed().slowness()));
	}

	/**
	 * Updates the speeds of the endpoints that ran the tasks of a batch. Each task is
	 * compared with the others of its batch, which vary much less than the batches of a
	 * route. The only task of a batch is compared with the estimate.
	 * @param batch the batch, whose tasks are done
	 */
	void onAllTasksDone(Batch batch) {
		if (batch.tasks().size() == 1) {
			RunTimeEstimate estimate = estimate(batch.route(), batch.request().tasks());
			BatchTask task = batch.tasks().get(0);
			if (estimate.learned()) {
				task.ranAt().speed().observe(estimate.typicalNanos(), task.runNanos());
			}
			return;
		}
		double[] logWork = batch.tasks().stream().mapToDouble(BatchRunTimes::logWork).toArray();
		double sum = 0;
		for (double each : logWork) {
			sum += each;
		}
		for (int i = 0; i < logWork.length; i++) {
			double others = (sum - logWork[i]) / (logWork.length - 1);
			BatchTask task = batch.tasks().get(i);
			task.ranAt().speed().observe((long) Math.exp(others), task.runNanos());
		}
	}

	private static double logWork(BatchTask task) {
		return Math.log(Math.max(1, task.runNanos()) / task.ranAt().speed().slowness());
	}

}
