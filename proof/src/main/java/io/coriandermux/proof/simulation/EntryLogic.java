package io.coriandermux.proof.simulation;

import java.util.List;

import io.coriandermux.core.entry.EntryEffect;
import io.coriandermux.core.entry.EntryEvent;
import io.coriandermux.core.entry.EntryStatus;
import io.coriandermux.core.id.Moment;

/**
 * The decision logic of an entry, as a simulated process drives it.
 */
public interface EntryLogic {

	/**
	 * Handles an event.
	 * @param event the event
	 * @param now reading of the process's clock
	 * @return the effects to perform, in order
	 */
	List<EntryEffect> handle(EntryEvent event, Moment now);

	/**
	 * Returns the status for operators, including the revisions in force.
	 * @param now reading of the process's clock
	 * @return the status
	 */
	EntryStatus status(Moment now);

}
