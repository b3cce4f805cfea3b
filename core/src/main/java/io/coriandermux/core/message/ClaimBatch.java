package io.coriandermux.core.message;

import java.util.Optional;

import io.coriandermux.core.run.BatchId;

/**
 * Claims a batch for the sending entry at a guard that keeps the claims of the batch. The
 * guard answers with {@link ClaimAnswer}. A claim of another entry stays in force unless
 * it is the one to replace.
 *
 * @param batch the batch
 * @param number number of the claim, which rises with each claim of the entry
 * @param keepMillis time for which the guard keeps the claim, in milliseconds
 * @param replaced the claim of another entry that is replaced together with its earlier
 * ones, because all runs under it have ended
 */
public record ClaimBatch(BatchId batch, long number, long keepMillis,
		Optional<BatchClaim> replaced) implements Message {

}
