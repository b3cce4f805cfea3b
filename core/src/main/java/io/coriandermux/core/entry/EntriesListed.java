package io.coriandermux.core.entry;

import java.util.List;

import io.coriandermux.core.member.EntryInfo;

/**
 * The list of entries was read from the store.
 *
 * @param entries all announcements
 */
public record EntriesListed(List<EntryInfo> entries) implements EntryEvent {

}
