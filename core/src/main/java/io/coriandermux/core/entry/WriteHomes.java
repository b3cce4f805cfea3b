package io.coriandermux.core.entry;

import io.coriandermux.core.home.HomeTable;

/**
 * Write the home table by compare-and-swap on its revision and report the result as
 * {@link HomesRead} or {@link HomesWriteRefused}.
 *
 * @param next the new content; its revision is the expected one
 */
public record WriteHomes(HomeTable next) implements EntryEffect {

}
