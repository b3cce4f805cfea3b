package io.coriandermux.core.message;

/**
 * Requests that an entry releases unused credits.
 *
 * @param count number of credits to release
 */
public record Recall(int count) implements Message {

}
