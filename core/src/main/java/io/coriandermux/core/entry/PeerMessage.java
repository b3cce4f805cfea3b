package io.coriandermux.core.entry;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.message.Message;

/**
 * A message from another entry arrived.
 *
 * @param peer the entry
 * @param incarnation its incarnation
 * @param message the message
 */
public record PeerMessage(EntryId peer, Incarnation incarnation, Message message) implements EntryEvent {

}
