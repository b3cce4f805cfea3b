package io.coriandermux.core.message;

/**
 * Sends the configuration in force to another entry that has requested it.
 *
 * @param version version of the configuration
 * @param document the configuration as stored in the store
 */
public record TablesPush(long version, byte[] document) implements Message {

}
