package io.coriandermux.core.guard;

import io.coriandermux.core.home.HomeTable;

/**
 * The home table was read from the store after this guard was announced.
 *
 * @param homes the table
 */
public record GuardHomesRead(HomeTable homes) implements GuardEvent {

}
