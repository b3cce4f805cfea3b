package io.coriandermux.core.entry;

import java.util.List;

import io.coriandermux.core.member.GuardInfo;

/**
 * The list of guards was read from the store.
 *
 * @param guards all announcements
 * @param request number of the {@link ListGuards} that requested the list, 0 if none did
 */
public record GuardsListed(List<GuardInfo> guards, long request) implements EntryEvent {

}
