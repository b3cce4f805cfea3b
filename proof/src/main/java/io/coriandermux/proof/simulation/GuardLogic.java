package io.coriandermux.proof.simulation;

import java.util.List;

import io.coriandermux.core.guard.GuardEffect;
import io.coriandermux.core.guard.GuardEvent;
import io.coriandermux.core.id.Moment;

/**
 * The decision logic of a guard, as a simulated process drives it.
 */
@FunctionalInterface
public interface GuardLogic {

	/**
	 * Handles an event.
	 * @param event the event
	 * @param now reading of the process's clock
	 * @return the effects to perform, in order
	 */
	List<GuardEffect> handle(GuardEvent event, Moment now);

}
