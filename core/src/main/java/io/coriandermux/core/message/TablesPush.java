package io.coriandermux.core.message;

/**
 * Carries the configuration in force to another entry that has asked for it.
 *
 * @param version version of the configuration
 * @param document the configuration as it stands in the store
 */
public record TablesPush(long version, byte[] document) implements Message {

}
