package io.coriandermux.core.entry;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.message.Message;

/**
 * Sends a message to a guard.
 *
 * @param guard the receiver
 * @param message the message
 */
public record SendToGuard(GuardId guard, Message message) implements EntryEffect {

}
