package io.coriandermux.core.lease;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.message.RunEnded;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;

/**
 * Reports the ends of runs to entries.
 */
final class RunEndReporter {

	private final EntryChannel entries;

	private final RunNotices notices;

	private final EndedRunHistory history = new EndedRunHistory();

	/** Answers deferred until no run of a previous guard can be active. */
	private final Map<RunId, EntryId> deferred = new LinkedHashMap<>();

	RunEndReporter(EntryChannel entries, RunNotices notices) {
		this.entries = entries;
		this.notices = notices;
	}

	void reportEnd(EntryId entry, RunId run, RunOutcome outcome, long runMillis) {
		RunEnded ended = new RunEnded(run, outcome, runMillis);
		this.history.add(ended);
		this.entries.send(entry, ended);
	}

	boolean hasEnded(RunId run) {
		return this.history.find(run).isPresent();
	}

	/**
	 * Reports to an entry that a run is not active. A run without a recorded end was not
	 * started by this guard and is reported as not started. This is recorded, because the
	 * entry may start the task elsewhere: a start order that arrives later, on another
	 * connection or for a later submission of the batch, must not start the run.
	 * @param entry the entry
	 * @param run the run
	 * @param settled whether no run of a previous guard can be active; if not, the answer
	 * is deferred
	 */
	void reportInactive(EntryId entry, RunId run, boolean settled) {
		Optional<RunEnded> ended = this.history.find(run);
		this.notices.onInactiveRequested(run, entry, ended, settled);
		if (!settled) {
			this.deferred.put(run, entry);
			return;
		}
		ended.ifPresentOrElse((end) -> this.entries.send(entry, end),
				() -> reportEnd(entry, run, RunOutcome.NOT_STARTED, 0));
	}

	void onSettled() {
		Map<RunId, EntryId> pending = new LinkedHashMap<>(this.deferred);
		this.deferred.clear();
		pending.forEach((run, entry) -> reportInactive(entry, run, true));
	}

}
