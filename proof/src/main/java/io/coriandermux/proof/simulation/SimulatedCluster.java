package io.coriandermux.proof.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;

import io.coriandermux.core.api.Resources;
import io.coriandermux.core.id.EndpointName;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.id.RackName;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.id.RouteName;
import io.coriandermux.core.id.ZoneName;
import io.coriandermux.core.member.EntryInfo;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.table.OwnerShare;
import io.coriandermux.core.table.Pool;
import io.coriandermux.core.table.Route;
import io.coriandermux.core.table.Tables;

/**
 * The processes and tables of each simulation: three entries, four guards with two slots
 * each, a pool shared by two owners, and a pool of one owner.
 */
final class SimulatedCluster {

	/** Names of the entries. */
	static final List<String> ENTRIES = List.of("e1", "e2", "e3");

	/** Names of the guards. */
	static final List<String> GUARDS = List.of("g1", "g2", "g3", "g4");

	/** The owner of both pools. */
	static final OwnerId GUILD = new OwnerId("guild");

	/** The owner that shares the pool {@code shared}. */
	static final OwnerId CONFIGURATOR = new OwnerId("configurator");

	private static final int SLOTS = 2;

	private static final int CORES = 8;

	private static final int MEMORY_MB = 16_000;

	private static final int QUOTA = 64;

	private static final long TASK_TIMEOUT_MILLIS = 6000;

	private static final long MAX_QUEUE_MILLIS = 30_000;

	private static final List<String> ZONES = List.of("thess-a", "thess-b", "kavala");

	private SimulatedCluster() {
	}

	static EntryInfo entry(String name, long incarnation) {
		int number = ENTRIES.indexOf(name);
		return new EntryInfo(new EntryId(name), new Incarnation(incarnation), "127.0.0.1", number + 1,
				new ZoneName(ZONES.get(number)));
	}

	static GuardInfo guard(String name, long incarnation) {
		int number = GUARDS.indexOf(name);
		String endpoint = (number < GUARDS.size() - 1) ? "run-" + number : "own-" + number;
		return new GuardInfo(new GuardId(name), new Incarnation(incarnation), "127.0.0.1", 100 + number,
				new ZoneName(ZONES.get(number % ZONES.size())), new RackName("rack-" + number),
				new EndpointName(endpoint), SLOTS, new Resources(CORES, MEMORY_MB, 0));
	}

	static ConfigDoc guildDoc() {
		PoolName shared = new PoolName("shared");
		PoolName own = new PoolName("own");
		Map<OwnerId, OwnerShare> both = new LinkedHashMap<>();
		both.put(CONFIGURATOR, new OwnerShare(1, QUOTA));
		both.put(GUILD, new OwnerShare(1, QUOTA));
		return new ConfigDoc(
				List.of(new Route(GUILD, new RouteName("run"), "/run", shared, TASK_TIMEOUT_MILLIS),
						new Route(GUILD, new RouteName("own"), "/own", own, TASK_TIMEOUT_MILLIS)),
				List.of(new Pool(shared, List.of("run-*"), both, 0, MAX_QUEUE_MILLIS),
						new Pool(own, List.of("own-*"), Map.of(GUILD, new OwnerShare(1, QUOTA)), 0, MAX_QUEUE_MILLIS)),
				List.of());
	}

	static ConfigDoc configuratorDoc() {
		return new ConfigDoc(List
			.of(new Route(CONFIGURATOR, new RouteName("run"), "/run", new PoolName("shared"), TASK_TIMEOUT_MILLIS)),
				List.of(), List.of());
	}

	// Builds the tables from a snapshot of the configuration documents.
	static Tables buildTables(SortedMap<String, FakeStore.Versioned> found) {
		long revision = 0;
		List<Route> routes = new ArrayList<>();
		Map<PoolName, Pool> pools = new LinkedHashMap<>();
		for (FakeStore.Versioned value : found.values()) {
			ConfigDoc doc = (ConfigDoc) value.value();
			revision = Math.max(revision, value.revision());
			routes.addAll(doc.routes());
			doc.pools().forEach((pool) -> pools.put(pool.name(), pool));
		}
		return new Tables(new Revision(revision), routes, pools);
	}

	// Returns a copy of a pool with the same share for each owner.
	static Pool withShare(Pool pool, OwnerShare share) {
		Map<OwnerId, OwnerShare> shares = new LinkedHashMap<>();
		pool.shares().keySet().stream().sorted().forEach((owner) -> shares.put(owner, share));
		return new Pool(pool.name(), pool.endpoints(), shares, pool.shortSlots(), pool.maxQueueMillis());
	}

}
