package io.coriandermux.core.guard;

/**
 * An input of {@link GuardNode}.
 */
public sealed interface GuardEvent
		permits EntryConnected, EntryDisconnected, EntryMessage, TaskEnded, GuardHomesRead, DrainRequested, GuardTick {

}
