package io.coriandermux.core.entry;

import io.coriandermux.core.home.HomeTable;

/**
 * The home table was read from the store or received from another entry.
 *
 * @param homes the table
 */
public record HomesRead(HomeTable homes) implements EntryEvent {

}
