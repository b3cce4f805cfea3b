package io.coriandermux.core.lease;

import java.util.Set;

import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.run.ResourceAmounts;

/**
 * Contents of a heartbeat of an endpoint.
 *
 * @param incarnation the incarnation that sent the heartbeat
 * @param sequence number of the heartbeat in this incarnation, by which a delayed
 * heartbeat is recognized
 * @param pool pool that the endpoint serves
 * @param labels its labels
 * @param capacity its total resources
 * @param draining whether it is draining before it shuts down
 */
public record EndpointReport(EndpointIncarnation incarnation, long sequence, PoolName pool, Set<String> labels,
		ResourceAmounts capacity, boolean draining) {

}
