package io.coriandermux.core.message;

/**
 * Requests that an entry confirms that it still needs its runs at a guard.
 *
 * @param clockNanos the guard's monotonic clock in nanoseconds
 */
public record SessionPing(long clockNanos) implements Message {

}
