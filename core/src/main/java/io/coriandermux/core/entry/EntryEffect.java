package io.coriandermux.core.entry;

/**
 * An action that the entry process carries out for an {@link EntryNode}, in the order of
 * the returned list.
 */
public sealed interface EntryEffect
		permits SendToGuard, SendToPeer, ReplyToCaller, WriteHomes, ListGuards, EntryNotice {

}
