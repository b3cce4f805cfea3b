package io.coriandermux.core.entry;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Incarnation;

/**
 * Another entry was found dead, or this incarnation of it has ended.
 *
 * @param peer the entry
 * @param incarnation the incarnation
 */
public record PeerLost(EntryId peer, Incarnation incarnation) implements EntryEvent {

}
