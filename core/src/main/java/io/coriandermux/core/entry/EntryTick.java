package io.coriandermux.core.entry;

/**
 * Periodic event that triggers timeouts and retries.
 */
public record EntryTick() implements EntryEvent {

}
