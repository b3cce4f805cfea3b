package io.coriandermux.core.dispatch;

import io.coriandermux.core.run.ResourceAmounts;

/**
 * Number and requirements of the tasks of a batch, which are identical.
 *
 * @param count number of tasks
 * @param needs resources that each task holds
 * @param declaredMillis declared run time of a task in milliseconds, 0 if not declared
 * @param label label that the endpoint must have, empty for none
 * @param rack rack that is close to the data, empty for none
 * @param maxPerEndpoint maximum number of tasks on one endpoint, 0 for no limit
 */
public record TaskGroup(int count, ResourceAmounts needs, long declaredMillis, String label, String rack,
		int maxPerEndpoint) {

}
