package io.coriandermux.core.id;

/**
 * One incarnation of an entry.
 *
 * @param entry the entry
 * @param incarnation its incarnation
 */
public record EntryIncarnation(EntryId entry, Incarnation incarnation) {

}
