package io.coriandermux.core.entry;

import java.util.List;
import java.util.Optional;

import io.coriandermux.core.api.JobOutcome;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.PartitionEpoch;

/**
 * Explanation of the state of a job for operators.
 *
 * @param job the job
 * @param home its partition, and the epoch under which it was accepted
 * @param outcome its outcome, or empty while it has none
 * @param tasks its tasks in order
 */
public record JobExplanation(JobKey job, PartitionEpoch home, Optional<JobOutcome> outcome,
		List<TaskExplanation> tasks) {

}
