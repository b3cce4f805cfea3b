package io.coriandermux.bench.capacity;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.coriandermux.core.api.Resources;
import io.coriandermux.core.id.EndpointName;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.id.RackName;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.id.RouteName;
import io.coriandermux.core.id.ZoneName;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.table.OwnerShare;
import io.coriandermux.core.table.Pool;
import io.coriandermux.core.table.Route;
import io.coriandermux.core.table.Tables;

/**
 * Creates the guards and the tables of a fleet for the probes.
 */
final class FleetFixture {

	static final PoolName POOL = new PoolName("runners");

	static final OwnerId OWNER = new OwnerId("guild");

	static final RouteName ROUTE = new RouteName("work");

	static final String PATH = "/work";

	static final int SLOTS = 8;

	private static final int GUARDS_PER_RACK = 3;

	private static final int ZONES = 11;

	private static final int PORT = 7000;

	private static final long TIMEOUT_MILLIS = 10_000;

	private static final long MAX_QUEUE_MILLIS = 60_000;

	private static final int QUOTA = 1_000_000;

	private FleetFixture() {
	}

	static GuardInfo guard(int number) {
		String name = "g" + number;
		return new GuardInfo(new GuardId(name), new Incarnation(number), "127.0.0.1", PORT,
				new ZoneName("zone-" + number % ZONES), new RackName("rack-" + number / GUARDS_PER_RACK),
				new EndpointName("run-" + name), SLOTS, Resources.NONE);
	}

	static List<GuardInfo> guards(int count) {
		List<GuardInfo> guards = new ArrayList<>();
		for (int number = 0; number < count; number++) {
			guards.add(guard(number));
		}
		return guards;
	}

	static Tables tables() {
		Map<OwnerId, OwnerShare> shares = new LinkedHashMap<>();
		shares.put(OWNER, new OwnerShare(1, QUOTA));
		Pool pool = new Pool(POOL, List.of("run-*"), shares, 1, MAX_QUEUE_MILLIS);
		Route route = new Route(OWNER, ROUTE, PATH, POOL, TIMEOUT_MILLIS);
		return new Tables(new Revision(1), List.of(route), Map.of(POOL, pool));
	}

}
