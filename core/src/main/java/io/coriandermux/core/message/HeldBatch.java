package io.coriandermux.core.message;

import io.coriandermux.core.run.BatchId;

/**
 * A batch that an entry runs, stops or may start.
 *
 * @param batch the batch
 * @param ageMillis longest possible time since its request was sent, in milliseconds
 */
public record HeldBatch(BatchId batch, long ageMillis) {

}
