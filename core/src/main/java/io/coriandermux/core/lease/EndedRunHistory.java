package io.coriandermux.core.lease;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import io.coriandermux.core.message.RunEnded;
import io.coriandermux.core.run.RunId;

/**
 * The most recent ends of runs, kept for entries that were disconnected when a run ended.
 * The number is limited: a run whose end was evicted is reported as not started, and the
 * entry then starts the task again. This affects only runs whose end the entry has not
 * received, because it does not ask for others.
 */
final class EndedRunHistory {

	/** About the number of runs that end at a large endpoint in 30 s. */
	private static final int MAX_ENTRIES = 2048;

	private final Map<RunId, RunEnded> ends = new LinkedHashMap<>();

	void add(RunEnded ended) {
		this.ends.put(ended.run(), ended);
		if (this.ends.size() > MAX_ENTRIES) {
			this.ends.remove(this.ends.keySet().iterator().next());
		}
	}

	Optional<RunEnded> find(RunId run) {
		return Optional.ofNullable(this.ends.get(run));
	}

}
