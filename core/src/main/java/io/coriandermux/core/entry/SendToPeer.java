package io.coriandermux.core.entry;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.message.Message;

/**
 * Sends a message to another entry.
 *
 * @param peer the receiver
 * @param message the message
 */
public record SendToPeer(EntryId peer, Message message) implements EntryEffect {

}
