package io.coriandermux.core.dispatch;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Incarnation;

/**
 * One incarnation of another entry.
 *
 * @param entry the entry
 * @param incarnation its incarnation
 */
record EntryIncarnation(EntryId entry, Incarnation incarnation) {

}
