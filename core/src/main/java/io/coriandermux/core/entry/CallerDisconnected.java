package io.coriandermux.core.entry;

/**
 * A caller closed its connection. Its job is not cancelled.
 *
 * @param reference number of the request at this process
 */
public record CallerDisconnected(long reference) implements EntryEvent {

}
