package io.coriandermux.core.message;

import io.coriandermux.core.run.BatchId;

/**
 * Takes a batch over for the sending entry because the entry that has claimed it can't be
 * asked. The guard refuses starts of other entries from then on, stops their runs of the
 * batch, and answers with {@link TakeOverAnswer} when these have certainly ended.
 *
 * @param batch the batch
 * @param number orders the take-overs of a batch; of two with the same number, that of
 * the entry with the higher id comes later
 * @param keepMillis time for which the guard keeps the claim, in milliseconds
 */
public record TakeOverBatch(BatchId batch, long number, long keepMillis) implements Message {

}
