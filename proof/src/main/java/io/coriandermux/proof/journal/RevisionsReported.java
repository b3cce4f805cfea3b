package io.coriandermux.proof.journal;

/**
 * A process reported in a heartbeat the revisions that it has in force.
 *
 * @param atNanos simulated time in nanoseconds
 * @param process the process
 * @param incarnation its incarnation
 * @param config revision of the configuration
 * @param homes revision of the home table
 */
public record RevisionsReported(long atNanos, String process, long incarnation, long config,
		long homes) implements Observation {

}
