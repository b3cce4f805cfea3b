package io.coriandermux.core.message;

/**
 * Response to a {@link SessionPing}, which confirms the session.
 *
 * @param clockNanos the clock reading of the ping
 */
public record SessionPong(long clockNanos) implements Message {

}
