package io.coriandermux.core.api;

/**
 * Result of a task in the outcome of its job.
 *
 * @param outcome what is known about the execution of the task
 * @param reason human-readable reason, empty if complete
 * @param body the endpoint's answer; empty unless the whole job is complete
 */
public record TaskResult(Outcome outcome, String reason, byte[] body) {

}
