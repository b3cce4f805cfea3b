package io.coriandermux.core.api;

import java.util.List;

import io.coriandermux.core.id.JobId;
import io.coriandermux.core.id.OwnerId;

/**
 * Submits a job. If the job is already known, the request is joined to it or answered
 * with its stored outcome.
 *
 * @param owner the authenticated owner
 * @param job the job id
 * @param createdAtMillis creation time of the job id in milliseconds since 1970-01-01
 * UTC, wall clock
 * @param deadlineMillis deadline for the whole answer in milliseconds after the creation
 * time
 * @param nonIdempotent whether the caller marked the job non-idempotent
 * @param tasks the tasks, 1 to 150
 * @param waitMillis maximum time to wait for the outcome in milliseconds
 */
public record SubmitJob(OwnerId owner, JobId job, long createdAtMillis, long deadlineMillis, boolean nonIdempotent,
		List<TaskSpec> tasks, long waitMillis) implements CallerRequest {

}
