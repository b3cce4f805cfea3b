package io.coriandermux.core.entry;

import io.coriandermux.core.member.GuardInfo;

/**
 * A link to a guard was established, for the first time or again.
 *
 * @param guard its announcement
 */
public record GuardConnected(GuardInfo guard) implements EntryEvent {

}
