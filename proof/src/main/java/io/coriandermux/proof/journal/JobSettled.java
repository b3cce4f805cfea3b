package io.coriandermux.proof.journal;

import io.coriandermux.core.id.JobKey;

/**
 * A caller received the final outcome of its job.
 *
 * @param atNanos simulated time in nanoseconds
 * @param job the job
 * @param outcome the outcome and its code, as traces state them
 */
public record JobSettled(long atNanos, JobKey job, String outcome) implements Observation {

}
