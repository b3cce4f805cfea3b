package io.coriandermux.proof.simulation;

import java.util.function.Supplier;

import io.coriandermux.core.id.Moment;
import io.coriandermux.core.member.EntryInfo;
import io.coriandermux.core.member.GuardInfo;

/**
 * Creates the decision logic of the processes under test. Mutations wrap the logic that
 * it creates.
 */
public interface LogicFactory {

	/**
	 * Creates the decision logic of a starting entry.
	 * @param info its announcement
	 * @param uuids supplies version 7 UUIDs from the process's wall clock
	 * @return the decision logic
	 */
	EntryLogic createEntryLogic(EntryInfo info, Supplier<String> uuids);

	/**
	 * Creates the decision logic of a starting guard.
	 * @param info its announcement
	 * @param startedAt reading of the process's clock at its start
	 * @return the decision logic
	 */
	GuardLogic createGuardLogic(GuardInfo info, Moment startedAt);

}
