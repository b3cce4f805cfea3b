package io.coriandermux.core.api;

import io.coriandermux.core.id.JobId;
import io.coriandermux.core.id.OwnerId;

/**
 * Requests the state or outcome of a job.
 *
 * @param owner the authenticated owner
 * @param job the job id
 * @param waitMillis maximum time to wait for the outcome in milliseconds
 */
public record FetchJob(OwnerId owner, JobId job, long waitMillis) implements CallerRequest {

}
