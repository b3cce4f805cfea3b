package io.coriandermux.core.message;

import io.coriandermux.core.run.EndpointLoad;

/**
 * Reports the load of an endpoint to an entry.
 *
 * @param load the load
 * @param order number of the newest order of this entry that the load accounts for, 0 for
 * none
 */
public record EndpointChanged(EndpointLoad load, long order) implements Message {

}
