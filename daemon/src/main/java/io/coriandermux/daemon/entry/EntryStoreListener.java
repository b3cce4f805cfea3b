package io.coriandermux.daemon.entry;

import java.util.List;

import io.coriandermux.core.entry.EntryEvent;
import io.coriandermux.core.member.EntryInfo;
import io.coriandermux.core.member.GuardInfo;

/**
 * Passes the results of store calls to the decision thread. The methods block while the
 * queue of that thread is full.
 */
interface EntryStoreListener {

	void onEvent(EntryEvent event);

	void onEntriesListed(List<EntryInfo> entries);

	void onGuardsListed(List<GuardInfo> guards, long request);

}
