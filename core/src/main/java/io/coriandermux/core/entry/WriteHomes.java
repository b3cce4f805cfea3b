package io.coriandermux.core.entry;

import io.coriandermux.core.home.HomeTable;

/**
 * Writes the home table by compare-and-swap on its revision. The result is reported as
 * {@link HomesRead} or {@link HomesWriteRefused}.
 *
 * @param next the new content, with the revision that is expected in the store
 */
public record WriteHomes(HomeTable next) implements EntryEffect {

}
