package io.coriandermux.core.api;

/**
 * The job has no outcome yet.
 *
 * @param job the job id
 * @param queued number of waiting tasks
 * @param running number of running tasks
 * @param finished number of ended tasks
 */
public record JobRunning(String job, int queued, int running, int finished) implements CallerReply {

}
