package io.coriandermux.proof.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.coriandermux.proof.journal.Journal;
import io.coriandermux.proof.journal.Observation;
import io.coriandermux.proof.journal.ProcessState;
import io.coriandermux.proof.journal.ProcessStateChanged;
import io.coriandermux.proof.journal.TaskStarted;

/**
 * P6: an endpoint whose guard was requested to drain receives no new task after the grace
 * period.
 */
public final class NoWorkWhileLeaving implements Check {

	/** The guarantee allows "a few seconds" in which tasks may still start. */
	private static final long GRACE_PERIOD_NANOS = 3_000_000_000L;

	@Override
	public List<Violation> violations(Journal journal) {
		List<Violation> found = new ArrayList<>();
		Map<String, Long> drainingSince = new LinkedHashMap<>();
		for (Observation observation : journal.all()) {
			if (observation instanceof ProcessStateChanged changed) {
				if (changed.state() == ProcessState.LEAVING) {
					drainingSince.putIfAbsent(changed.process(), changed.atNanos());
				}
				else if (changed.state() == ProcessState.UP) {
					drainingSince.remove(changed.process());
				}
			}
			else if (observation instanceof TaskStarted started) {
				Long since = drainingSince.get(started.guard().value());
				if (since != null && started.atNanos() - since > GRACE_PERIOD_NANOS) {
					found.add(new Violation(name(), started.atNanos(),
							started.task() + " started at " + started.guard() + ", which is leaving"));
				}
			}
		}
		return found;
	}

}
