package io.coriandermux.core.guard;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Incarnation;

/**
 * The connection of an entry ended, or the entry was declared dead.
 *
 * @param entry the entry
 * @param incarnation its incarnation
 */
public record EntryDisconnected(EntryId entry, Incarnation incarnation) implements GuardEvent {

}
