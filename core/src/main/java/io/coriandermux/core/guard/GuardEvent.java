package io.coriandermux.core.guard;

/**
 * An input of {@link GuardNode}.
 */
public sealed interface GuardEvent
		permits EntryLinked, EntryUnlinked, EntryMessage, TaskEnded, GuardHomesRead, DrainRequested, GuardTick {

}
