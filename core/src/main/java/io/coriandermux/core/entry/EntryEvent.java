package io.coriandermux.core.entry;

/**
 * An input of an {@link EntryNode}.
 */
public sealed interface EntryEvent permits CallerRequested, CallerDisconnected, GuardConnected, GuardLost, GuardMessage,
		PeerConnected, PeerLost, PeerMessage, TablesChanged, HomesRead, HomesWriteRefused, StoreUnavailable,
		GuardsListed, EntriesListed, ShutdownRequested, EntryTick {

}
