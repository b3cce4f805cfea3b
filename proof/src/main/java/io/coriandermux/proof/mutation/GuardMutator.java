package io.coriandermux.proof.mutation;

import java.util.List;

import io.coriandermux.core.guard.GuardEffect;
import io.coriandermux.core.guard.GuardEvent;
import io.coriandermux.core.id.Moment;
import io.coriandermux.proof.simulation.GuardLogic;

/**
 * Changes the events or effects of the decision logic of a guard to break a guarantee.
 * Each process has its own instance.
 */
@FunctionalInterface
interface GuardMutator {

	/** Passes all events and effects through unchanged. */
	GuardMutator NONE = GuardLogic::handle;

	List<GuardEffect> handle(GuardLogic inner, GuardEvent event, Moment now);

}
