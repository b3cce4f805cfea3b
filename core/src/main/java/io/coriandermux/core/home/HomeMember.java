package io.coriandermux.core.home;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Incarnation;

/**
 * An entry that can be home of partitions.
 *
 * @param entry the entry
 * @param incarnation its incarnation
 */
public record HomeMember(EntryId entry, Incarnation incarnation) {

}
