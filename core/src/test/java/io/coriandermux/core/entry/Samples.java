package io.coriandermux.core.entry;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

import io.coriandermux.core.api.JobOutcome;
import io.coriandermux.core.api.Resources;
import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.api.TaskSpec;
import io.coriandermux.core.id.JobId;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.id.RouteName;
import io.coriandermux.core.table.OwnerShare;
import io.coriandermux.core.table.Pool;
import io.coriandermux.core.table.Route;
import io.coriandermux.core.table.Tables;

/**
 * Configuration tables and requests for tests.
 */
final class Samples {

	static final OwnerId OWNER = new OwnerId("guild");

	static final PoolName POOL = new PoolName("pool");

	static final Tables TABLES = new Tables(new Revision(1),
			List.of(new Route(OWNER, new RouteName("route"), "/run", POOL, 60_000)),
			Map.of(POOL, new Pool(POOL, List.of("g*"), Map.of(OWNER, new OwnerShare(1, 100)), 0, 10_000)));

	private Samples() {
	}

	static SubmitJob submit(String id, long createdAtMillis, String... payloads) {
		List<TaskSpec> tasks = Arrays.stream(payloads)
			.map((payload) -> new TaskSpec("/run", payload.getBytes(), Resources.NONE, 0))
			.toList();
		return new SubmitJob(OWNER, new JobId(id), createdAtMillis, 30_000, false, tasks, 30_000);
	}

	static List<String> bodies(JobOutcome outcome) {
		return outcome.tasks().stream().map((task) -> new String(task.body())).toList();
	}

}
