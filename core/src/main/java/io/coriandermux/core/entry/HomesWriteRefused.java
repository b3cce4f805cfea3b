package io.coriandermux.core.entry;

import io.coriandermux.core.home.HomeTable;

/**
 * The compare-and-swap of the home table failed.
 *
 * @param homes the table that the store holds
 */
public record HomesWriteRefused(HomeTable homes) implements EntryEvent {

}
