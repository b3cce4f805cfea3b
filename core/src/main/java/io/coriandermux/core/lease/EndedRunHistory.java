package io.coriandermux.core.lease;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import io.coriandermux.core.message.RunEnded;
import io.coriandermux.core.run.RunId;

/**
 * A bounded number of the most recent ends of runs, for entries that were disconnected
 * when a run ended. A run whose end was evicted is reported as not started. An entry asks
 * only for runs whose end it has not received, so it then starts the task again.
 */
final class EndedRunHistory {

	/** About as many runs as a large endpoint ends in 30 s. */
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
