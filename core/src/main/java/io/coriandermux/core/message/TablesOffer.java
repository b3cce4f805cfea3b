package io.coriandermux.core.message;

/**
 * Announces the configuration in force at the sender to another entry.
 *
 * @param version version of the configuration
 */
public record TablesOffer(long version) implements Message {

}
