package io.coriandermux.daemon.entry;

import java.util.List;

import io.coriandermux.core.entry.JobExplanation;

/**
 * Explanation of a job for operators. It omits the answers, because they belong to the
 * owner.
 *
 * @param owner the owner
 * @param job the job id
 * @param partition partition of the job
 * @param epoch epoch under which it was accepted
 * @param outcome its outcome, {@code RUNNING} while it has none
 * @param code code of the outcome, empty while it has none
 * @param reason the reason as text
 * @param tasks its tasks in order
 */
record JobView(String owner, String job, int partition, long epoch, String outcome, String code, String reason,
		List<TaskView> tasks) {

	static JobView of(JobExplanation job) {
		List<TaskView> tasks = job.tasks()
			.stream()
			.map((task) -> new TaskView(task.route().value(), task.pool().value(), task.state().name(),
					task.guard().map(Object::toString).orElse(""), task.outcome().name(), task.reason()))
			.toList();
		return new JobView(job.job().owner().value(), job.job().job(), job.home().partition().number(),
				job.home().epoch().value(), job.outcome().map((ended) -> ended.outcome().name()).orElse("RUNNING"),
				job.outcome().map((ended) -> ended.code().name()).orElse(""),
				job.outcome().map((ended) -> ended.reason()).orElse(""), tasks);
	}

	/**
	 * A task of the job.
	 *
	 * @param route its route
	 * @param pool its pool
	 * @param state its state
	 * @param guard guard of its last attempt, empty if it was not placed
	 * @param outcome its outcome as far as it is known
	 * @param reason the reason as text
	 */
	record TaskView(String route, String pool, String state, String guard, String outcome, String reason) {

	}

}
