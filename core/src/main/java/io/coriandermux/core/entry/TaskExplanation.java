package io.coriandermux.core.entry;

import java.util.Optional;

import io.coriandermux.core.accept.TaskState;
import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.id.RouteName;

/**
 * Explanation of the state of a task for operators.
 *
 * @param route its route
 * @param pool its pool
 * @param state its state
 * @param guard guard of its last attempt, or empty if it was not placed
 * @param outcome its outcome as far as it is known
 * @param reason the reason as text
 */
public record TaskExplanation(RouteName route, PoolName pool, TaskState state, Optional<GuardId> guard, Outcome outcome,
		String reason) {

}
