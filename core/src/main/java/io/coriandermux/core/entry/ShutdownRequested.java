package io.coriandermux.core.entry;

/**
 * The process was asked to stop gracefully.
 */
public record ShutdownRequested() implements EntryEvent {

}
