package io.coriandermux.core.entry;

import io.coriandermux.core.api.CallerRequest;

/**
 * An authenticated request of a caller arrived.
 *
 * @param reference number of the request at this process
 * @param request the request
 */
public record CallerRequested(long reference, CallerRequest request) implements EntryEvent {

}
