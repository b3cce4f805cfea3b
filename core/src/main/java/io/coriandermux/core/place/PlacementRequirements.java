package io.coriandermux.core.place;

import io.coriandermux.core.api.Resources;

/**
 * Requirements of a task on the endpoint that runs it.
 *
 * @param needs the resources that the task needs
 * @param shortWork whether the task may use the slots reserved for short tasks
 */
public record PlacementRequirements(Resources needs, boolean shortWork) {
}
