package io.coriandermux.bench.load;

/**
 * Usage of a process during one phase.
 *
 * @param process name of the process
 * @param phase name of the phase
 * @param coreFraction processor time divided by the duration of the phase
 * @param processorMicrosPerTask processor time per completed task in microseconds, 0 if
 * no task completed
 * @param residentBytes resident memory at the end of the phase
 * @param linkBytesPerSecond bytes sent and received per second on links to other
 * processes of the system
 */
public record PhaseUsage(String process, String phase, double coreFraction, double processorMicrosPerTask,
		long residentBytes, double linkBytesPerSecond) {

}
