package io.coriandermux.core.lease;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.message.RunEnded;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;

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

	private final Map<RunId, OrderedEnd> ordered = new LinkedHashMap<>();

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
	 * @param end its end
	 */
	void addOrdered(RunId run, OrderedEnd end) {
		this.ordered.putIfAbsent(run, end);
		limit(this.ordered.keySet());
	}

	boolean wasOrdered(RunId run) {
		return this.ordered.containsKey(run);
	}

	/**
	 * Returns the first recorded end of a run that was ordered at the endpoint.
	 * @param run the run
	 * @return the end, empty if none is recorded
	 */
	Optional<OrderedEnd> findOrdered(RunId run) {
		return Optional.ofNullable(this.ordered.get(run));
	}

	private static void limit(Collection<?> oldestFirst) {
		if (oldestFirst.size() > MAX_ENTRIES) {
			oldestFirst.remove(oldestFirst.iterator().next());
		}
	}

	/**
	 * End of a run that was ordered at the endpoint.
	 *
	 * @param owner the entry that has requested the run
	 * @param outcome its outcome
	 * @param proof how the end is known
	 * @param endedNanos time on the monotonic clock at which it became known
	 */
	record OrderedEnd(EntryIncarnation owner, RunOutcome outcome, EndProof proof, long endedNanos) {

	}

}
