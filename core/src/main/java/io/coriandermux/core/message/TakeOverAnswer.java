package io.coriandermux.core.message;

import io.coriandermux.core.run.BatchId;

/**
 * Answers a {@link TakeOverBatch}.
 *
 * @param batch the batch
 * @param number number of the take-over that is answered
 * @param granted whether no run of another entry is active or can start at the guard;
 * false if a later take-over by another entry is in force
 */
public record TakeOverAnswer(BatchId batch, long number, boolean granted) implements Message {

}
