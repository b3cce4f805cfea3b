package io.coriandermux.daemon.http;

import java.util.Optional;
import java.util.function.Function;

import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.id.JobId;

/**
 * A parsed job submission. If it has no id, the entry reserves one before it creates the
 * request.
 *
 * @param id the id that the caller specified, if any
 * @param toRequest creates the request for a job id
 */
record Submission(Optional<JobId> id, Function<JobId, SubmitJob> toRequest) {

}
