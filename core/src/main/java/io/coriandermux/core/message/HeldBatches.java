package io.coriandermux.core.message;

import java.util.List;

import io.coriandermux.core.run.BatchId;

/**
 * Announces to another entry which batches the sender has in progress for some time.
 * Ended batches are removed before the held ones are added.
 *
 * @param complete whether this list replaces all earlier ones, as on a new connection
 * @param ended batches that the sender had announced and whose runs have all ended
 * @param held batches that the sender runs, stops or may start, with their ages
 */
public record HeldBatches(boolean complete, List<BatchId> ended, List<HeldBatch> held) implements Message {

}
