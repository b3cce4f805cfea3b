package io.coriandermux.core.message;

/**
 * Announces to an entry that the sender drains: a guard no longer starts tasks, an entry
 * no longer takes over partitions.
 *
 * @param graceMillis time in milliseconds for which a guard still waits for running tasks
 */
public record Leaving(long graceMillis) implements Message {

}
