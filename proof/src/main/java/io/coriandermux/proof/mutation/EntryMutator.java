package io.coriandermux.proof.mutation;

import java.util.List;

import io.coriandermux.core.entry.EntryEffect;
import io.coriandermux.core.entry.EntryEvent;
import io.coriandermux.core.entry.EntryStatus;
import io.coriandermux.core.id.Moment;
import io.coriandermux.proof.simulation.EntryLogic;

/**
 * Changes the events or effects of the decision logic of an entry to break a guarantee.
 * Each process has its own instance.
 */
@FunctionalInterface
interface EntryMutator {

	/** Passes all events and effects through unchanged. */
	EntryMutator NONE = EntryLogic::handle;

	List<EntryEffect> handle(EntryLogic inner, EntryEvent event, Moment now);

	default EntryStatus status(EntryLogic inner, Moment now) {
		return inner.status(now);
	}

}
