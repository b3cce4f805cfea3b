package io.coriandermux.core.dispatch;

import java.util.Optional;

import io.coriandermux.core.run.BatchId;

/**
 * A caller's request to run a batch.
 *
 * @param id id of the batch, assigned by the caller
 * @param spec task description that is passed to the endpoint
 * @param tasks number and requirements of the tasks
 * @param waitMillis the caller's timeout in milliseconds
 * @param unsupported requested feature that this version does not support, if any
 */
public record BatchRequest(BatchId id, String spec, TaskGroup tasks, long waitMillis, Optional<String> unsupported) {

}
