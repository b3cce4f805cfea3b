package io.coriandermux.core.message;

/**
 * The entry that has claimed a batch.
 *
 * @param claim its claim
 * @param ageMillis time since its claim, in milliseconds
 */
public record BatchHolder(BatchClaim claim, long ageMillis) {

}
