package io.coriandermux.core.message;

import java.util.Optional;

import io.coriandermux.core.run.BatchId;

/**
 * Answers a {@link ClaimBatch}.
 *
 * @param batch the batch
 * @param number number of the claim that is answered
 * @param complete whether the guard has run long enough to know all claims that may
 * matter
 * @param holder the other entry that has the batch, empty if the claim is in force
 */
public record ClaimAnswer(BatchId batch, long number, boolean complete,
		Optional<BatchHolder> holder) implements Message {

}
