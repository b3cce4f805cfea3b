package io.coriandermux.core.lease;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.message.RunEnded;
import io.coriandermux.core.run.RunId;

/**
 * The most recent ends of runs, kept per entry for entries that were disconnected when a
 * run ended. The number is limited: a run whose end was evicted is reported as not
 * started, and the entry then starts the task again. This affects only runs whose end the
 * entry has not received, because it does not ask for others.
 */
final class EndedRunHistory {

	/** About the number of runs that end at a large endpoint in 30 s. */
	private static final int MAX_ENTRIES = 2048;

	private final Map<OwnedRun, RunEnded> ends = new LinkedHashMap<>();

	private final Set<RunId> ordered = new LinkedHashSet<>();

	void add(EntryIncarnation owner, RunEnded ended) {
		this.ends.put(new OwnedRun(owner, ended.run()), ended);
		limit(this.ends.keySet());
	}

	Optional<RunEnded> find(EntryIncarnation owner, RunId run) {
		return Optional.ofNullable(this.ends.get(new OwnedRun(owner, run)));
	}

	/**
	 * Records that a run was ordered at the endpoint and has ended. The endpoint knows
	 * runs by their ids alone, so it may still answer or list this run, and another run
	 * with the same id would be taken for it.
	 * @param run the run
	 */
	void addOrdered(RunId run) {
		this.ordered.add(run);
		limit(this.ordered);
	}

	boolean wasOrdered(RunId run) {
		return this.ordered.contains(run);
	}

	private static void limit(Collection<?> oldestFirst) {
		if (oldestFirst.size() > MAX_ENTRIES) {
			oldestFirst.remove(oldestFirst.iterator().next());
		}
	}

}
