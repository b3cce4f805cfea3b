package io.coriandermux.core.message;

import io.coriandermux.core.run.BatchId;

/**
 * Requests that another entry gives up a batch because its caller has submitted it to the
 * sender. The receiver answers with {@link HeldBatches} when all runs of the batch have
 * certainly ended.
 *
 * @param batch the batch
 */
public record ReleaseBatch(BatchId batch) implements Message {

}
