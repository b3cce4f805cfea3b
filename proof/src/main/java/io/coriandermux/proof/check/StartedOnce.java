package io.coriandermux.proof.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.coriandermux.core.id.TaskKey;
import io.coriandermux.proof.journal.Journal;
import io.coriandermux.proof.journal.TaskStarted;

/**
 * P1 and P5: no task is started more than once at any endpoint, even after its job was
 * resubmitted.
 */
public final class StartedOnce implements Check {

	@Override
	public List<Violation> violations(Journal journal) {
		List<Violation> found = new ArrayList<>();
		Map<TaskKey, TaskStarted> first = new LinkedHashMap<>();
		journal.ofType(TaskStarted.class).forEach((started) -> {
			TaskStarted earlier = first.putIfAbsent(started.task(), started);
			if (earlier != null) {
				found.add(new Violation(name(), started.atNanos(),
						started.task() + " started at " + started.guard() + " and before at " + earlier.guard()));
			}
		});
		return found;
	}

}
