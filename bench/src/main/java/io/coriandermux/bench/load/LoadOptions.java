package io.coriandermux.bench.load;

import java.net.URI;
import java.time.Duration;
import java.util.List;

/**
 * Options of a load run.
 *
 * @param entries addresses of the entries' ports for callers, assigned to the connections
 * in turn
 * @param ownerKey key of the owner that submits the jobs
 * @param path path of the tasks
 * @param sleepMillis run time of a task at the endpoint stand-in in milliseconds
 * @param tasksPerJob number of tasks of each job
 * @param jobs number of jobs submitted in each phase
 * @param connections number of connections, each with one job at a time
 * @param phaseTimeout longest duration of a phase
 */
public record LoadOptions(List<URI> entries, String ownerKey, String path, int sleepMillis, int tasksPerJob, int jobs,
		int connections, Duration phaseTimeout) {

}
