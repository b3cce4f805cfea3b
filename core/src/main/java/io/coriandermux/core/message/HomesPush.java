package io.coriandermux.core.message;

import io.coriandermux.core.home.HomeTable;

/**
 * Sends a home table to a peer.
 *
 * @param homes the table
 */
public record HomesPush(HomeTable homes) implements Message {

}
