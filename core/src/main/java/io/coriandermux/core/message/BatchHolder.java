package io.coriandermux.core.message;

import io.coriandermux.core.id.EntryIncarnation;

/**
 * The entry that has claimed a batch.
 *
 * @param entry the entry
 * @param ageMillis time since its claim, in milliseconds
 */
public record BatchHolder(EntryIncarnation entry, long ageMillis) {

}
