package io.coriandermux.core.guard;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.message.Message;

/**
 * A message of an entry arrived.
 *
 * @param entry the entry
 * @param incarnation its incarnation
 * @param message the message
 */
public record EntryMessage(EntryId entry, Incarnation incarnation, Message message) implements GuardEvent {

}
