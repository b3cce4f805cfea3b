package io.coriandermux.core.message;

/**
 * Grants an entry credits to start tasks.
 *
 * @param count number of additional credits
 */
public record Credit(int count) implements Message {

}
