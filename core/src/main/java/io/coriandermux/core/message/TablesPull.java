package io.coriandermux.core.message;

/**
 * Asks another entry for its configuration if it is newer.
 *
 * @param version version that the sender has in force, 0 if none
 */
public record TablesPull(long version) implements Message {

}
