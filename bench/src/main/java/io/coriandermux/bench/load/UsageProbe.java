package io.coriandermux.bench.load;

/**
 * Reads the resource usage of a process.
 */
@FunctionalInterface
public interface UsageProbe {

	/**
	 * Reads the usage.
	 * @param process the process
	 * @return its usage since it started
	 * @throws ProcessEndedException if the process has ended
	 * @throws LoadException if its operators' port does not answer
	 */
	UsageSample sample(WatchedProcess process) throws ProcessEndedException, LoadException;

}
