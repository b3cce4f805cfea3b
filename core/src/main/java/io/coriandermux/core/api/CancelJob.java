package io.coriandermux.core.api;

import io.coriandermux.core.id.JobId;
import io.coriandermux.core.id.OwnerId;

/**
 * Cancels a job.
 *
 * @param owner the authenticated owner
 * @param job the job id
 */
public record CancelJob(OwnerId owner, JobId job) implements CallerRequest {

}
