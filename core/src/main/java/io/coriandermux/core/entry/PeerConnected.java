package io.coriandermux.core.entry;

import io.coriandermux.core.member.EntryInfo;

/**
 * A link to another entry was established, for the first time or again.
 *
 * @param peer its announcement
 */
public record PeerConnected(EntryInfo peer) implements EntryEvent {

}
