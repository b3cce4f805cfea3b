package io.coriandermux.core.api;

import io.coriandermux.core.id.JobId;

/**
 * The reply with a reserved job id.
 *
 * @param job the job id
 */
public record JobIdReserved(JobId job) implements CallerReply {

}
