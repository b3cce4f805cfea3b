package io.coriandermux.core.message;

/**
 * Tells another entry which configuration the sender has in force.
 *
 * @param version version of the configuration
 */
public record TablesOffer(long version) implements Message {

}
