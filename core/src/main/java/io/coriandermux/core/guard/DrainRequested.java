package io.coriandermux.core.guard;

/**
 * A request to drain the endpoint arrived.
 *
 * @param graceMillis time that running tasks have to end, in milliseconds
 */
public record DrainRequested(long graceMillis) implements GuardEvent {

}
