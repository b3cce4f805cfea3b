package io.coriandermux.core.guard;

/**
 * Periodic event that triggers the checks that depend on time.
 */
public record GuardTick() implements GuardEvent {

}
