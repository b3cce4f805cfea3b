package io.coriandermux.core.id;

/**
 * Identifies a task of a job.
 *
 * @param job the job
 * @param index the position of the task in its job, from 0
 */
public record TaskKey(JobKey job, int index) {

	@Override
	public String toString() {
		return this.job + "#" + this.index;
	}

}
