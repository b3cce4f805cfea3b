package io.coriandermux.bench.policy;

/**
 * A kind of job and of its tasks. Run times are lognormal; stragglers take many times
 * longer.
 *
 * @param owner owner of the jobs
 * @param route route of the tasks
 * @param frequency fraction of all jobs, from 0 to 1
 * @param medianMillis median run time at an endpoint of speed 1, in milliseconds
 * @param sigma standard deviation of the logarithm of the run time
 * @param fewestTasks least number of tasks of a job
 * @param mostTasks greatest number of tasks of a job; the number is distributed
 * log-uniformly in between
 * @param deadlineMillis time from the arrival of a job to its deadline in milliseconds
 */
public record TaskKind(String owner, String route, double frequency, double medianMillis, double sigma, int fewestTasks,
		int mostTasks, long deadlineMillis) {

	/**
	 * Kinds with a median up to this are short work, where a person waits for each
	 * answer.
	 */
	private static final double SHORT_MEDIAN_MILLIS = 200;

	/**
	 * Returns whether tasks of this kind are short work.
	 * @return whether the median run time is at most 200 ms
	 */
	public boolean isShort() {
		return this.medianMillis <= SHORT_MEDIAN_MILLIS;
	}

}
