package io.coriandermux.core.entry;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;

/**
 * A guard was found dead, or this incarnation of it has ended.
 *
 * @param guard the guard
 * @param incarnation the incarnation
 */
public record GuardLost(GuardId guard, Incarnation incarnation) implements EntryEvent {

}
