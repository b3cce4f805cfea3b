package io.coriandermux.bench.load;

import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * Result of one phase of a load run.
 *
 * @param name name of the phase
 * @param ratePerSecond rate at which jobs were due, 0 for as fast as the connections
 * allow
 * @param seconds duration of the phase in seconds
 * @param addedMicros response time without the run time at the endpoint in microseconds,
 * counted from the time at which a job was due
 * @param outcomes number of jobs by outcome; {@code error} counts failed requests,
 * {@code status N} responses without an outcome
 */
public record PhaseResult(String name, double ratePerSecond, double seconds, Histogram addedMicros,
		Map<String, Long> outcomes) {

	/**
	 * Returns the rate of completed jobs.
	 * @return jobs per second
	 */
	public double completePerSecond() {
		return this.outcomes.getOrDefault("complete", 0L) / this.seconds;
	}

}
