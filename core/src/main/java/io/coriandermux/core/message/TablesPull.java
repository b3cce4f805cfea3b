package io.coriandermux.core.message;

/**
 * Requests the configuration of another entry if it is newer.
 *
 * @param version version in force at the sender, 0 if none
 */
public record TablesPull(long version) implements Message {

}
