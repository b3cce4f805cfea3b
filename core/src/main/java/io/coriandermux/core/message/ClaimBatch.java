package io.coriandermux.core.message;

import java.util.Optional;

import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.run.BatchId;

/**
 * Claims a batch for the sending entry at a guard that keeps the claims of the batch. The
 * guard answers with {@link ClaimAnswer}. A claim of another entry stays in force unless
 * it is the one to replace.
 *
 * @param batch the batch
 * @param keepMillis time for which the guard keeps the claim, in milliseconds
 * @param replaced the entry whose claim is replaced, because all of its runs have ended
 */
public record ClaimBatch(BatchId batch, long keepMillis, Optional<EntryIncarnation> replaced) implements Message {

}
