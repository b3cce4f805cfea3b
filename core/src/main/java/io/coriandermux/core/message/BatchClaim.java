package io.coriandermux.core.message;

import io.coriandermux.core.id.EntryIncarnation;

/**
 * A claim of an entry on a batch.
 *
 * @param entry the entry
 * @param number number of the claim, which rises with each claim of the entry
 */
public record BatchClaim(EntryIncarnation entry, long number) {

}
