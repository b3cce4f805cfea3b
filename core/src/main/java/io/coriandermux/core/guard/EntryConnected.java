package io.coriandermux.core.guard;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Incarnation;

/**
 * An entry connected to the guard.
 *
 * @param entry the entry
 * @param incarnation its incarnation
 */
public record EntryConnected(EntryId entry, Incarnation incarnation) implements GuardEvent {

}
