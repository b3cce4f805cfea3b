package io.coriandermux.core.member;

import io.coriandermux.core.api.Resources;
import io.coriandermux.core.id.EndpointName;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.RackName;
import io.coriandermux.core.id.ZoneName;

/**
 * The announcement of a guard.
 *
 * @param guard its id
 * @param incarnation its incarnation
 * @param host its IP address
 * @param port its TCP port for connections from entries
 * @param zone its availability zone
 * @param rack its rack
 * @param endpoint name of its endpoint
 * @param slots maximum number of tasks that the endpoint runs at the same time
 * @param capacity the maximum needs of a task that the endpoint can run
 */
public record GuardInfo(GuardId guard, Incarnation incarnation, String host, int port, ZoneName zone, RackName rack,
		EndpointName endpoint, int slots, Resources capacity) {

}
