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
 * @param ageMillis longest possible time between the sending of the request and its
 * receipt in milliseconds, 0 if it was received at once
 * @param unsupported requested feature that this version does not support, if any
 */
public record BatchRequest(BatchId id, String spec, TaskGroup tasks, long waitMillis, long ageMillis,
		Optional<String> unsupported) {

	/**
	 * Creates a request that is received at once.
	 * @param id id of the batch, assigned by the caller
	 * @param spec task description that is passed to the endpoint
	 * @param tasks number and requirements of the tasks
	 * @param waitMillis the caller's timeout in milliseconds
	 * @param unsupported requested feature that this version does not support, if any
	 */
	public BatchRequest(BatchId id, String spec, TaskGroup tasks, long waitMillis, Optional<String> unsupported) {
		this(id, spec, tasks, waitMillis, 0, unsupported);
	}

	/**
	 * Returns this request with another age.
	 * @param millis longest possible time between its sending and its receipt, in
	 * milliseconds
	 * @return the request
	 */
	public BatchRequest withAge(long millis) {
		return new BatchRequest(this.id, this.spec, this.tasks, this.waitMillis, millis, this.unsupported);
	}

}
