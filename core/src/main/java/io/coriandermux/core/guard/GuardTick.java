package io.coriandermux.core.guard;

/**
 * Triggers the checks that depend on time; sent at a fixed interval.
 */
public record GuardTick() implements GuardEvent {

}
