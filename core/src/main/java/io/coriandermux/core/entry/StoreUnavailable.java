package io.coriandermux.core.entry;

/**
 * A call to the platform store failed. Whether a write took effect is unknown.
 */
public record StoreUnavailable() implements EntryEvent {

}
