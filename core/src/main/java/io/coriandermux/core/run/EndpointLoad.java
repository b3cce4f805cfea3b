package io.coriandermux.core.run;

import java.util.Set;

import io.coriandermux.core.id.PoolName;

/**
 * Capacity and load of an endpoint, as its guard reports them.
 *
 * @param pool the pool that the endpoint serves
 * @param labels labels of the endpoint, including its kind and its rack
 * @param capacity total resources of the endpoint
 * @param free resources that are not reserved for a run
 * @param accepting whether the endpoint accepts new runs
 */
public record EndpointLoad(PoolName pool, Set<String> labels, ResourceAmounts capacity, ResourceAmounts free,
		boolean accepting) {

}
