package io.coriandermux.core.guard;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.message.Message;

/**
 * Sends a message to an entry.
 *
 * @param entry the receiver
 * @param message the message
 */
public record SendToEntry(EntryId entry, Message message) implements GuardEffect {

}
