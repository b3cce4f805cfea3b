package io.coriandermux.core.entry;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.message.Message;

/**
 * A message from a guard arrived.
 *
 * @param guard the guard
 * @param incarnation its incarnation
 * @param message the message
 */
public record GuardMessage(GuardId guard, Incarnation incarnation, Message message) implements EntryEvent {

}
