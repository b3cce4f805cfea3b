package io.coriandermux.proof.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.coriandermux.core.api.Refusal;
import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.proof.journal.Journal;
import io.coriandermux.proof.journal.Observation;
import io.coriandermux.proof.journal.ProcessStateChanged;
import io.coriandermux.proof.journal.ReplyReceived;
import io.coriandermux.proof.journal.RequestFailed;
import io.coriandermux.proof.journal.RequestSent;
import io.coriandermux.proof.journal.TaskFinished;
import io.coriandermux.proof.journal.TaskStarted;

/**
 * P7: a graceful stop interrupts no request in progress. A request that an entry received
 * before it was requested to stop gets its reply, and a guard stops only after its
 * endpoint has finished the tasks that the guard started. Requests at an entry that is
 * killed while it stops are exempt.
 */
public final class GracefulStop implements Check {

	/**
	 * Delay of a request on its way to an entry. A request sent less than this before the
	 * stop reaches the entry after it.
	 */
	private static final long REQUEST_DELAY_NANOS = 1_000_000;

	@Override
	public List<Violation> violations(Journal journal) {
		Calls calls = new Calls(journal);
		List<Violation> found = new ArrayList<>();
		Map<String, Long> stoppingSince = new LinkedHashMap<>();
		Set<String> killed = new LinkedHashSet<>();
		Map<TaskKey, String> runningTasks = new LinkedHashMap<>();
		for (Observation observation : journal.all()) {
			if (observation instanceof ProcessStateChanged changed) {
				onProcessChanged(changed, stoppingSince, killed, runningTasks, found);
			}
			else if (observation instanceof TaskStarted started) {
				runningTasks.put(started.task(), started.guard().value());
			}
			else if (observation instanceof TaskFinished finished) {
				runningTasks.remove(finished.task());
			}
			else if (observation instanceof RequestFailed failure && !failure.timedOut()) {
				reportIfInProgress(calls.request(failure.requestNumber()), failure.atNanos(), "lost its reply",
						stoppingSince, killed, found);
			}
			else if (observation instanceof ReplyReceived received && received.reply() instanceof Refusal refusal
					&& refusal.code() == ReplyCode.SHUTTING_DOWN) {
				reportIfInProgress(calls.request(received.requestNumber()), received.atNanos(), "was refused",
						stoppingSince, killed, found);
			}
		}
		return found;
	}

	private void onProcessChanged(ProcessStateChanged changed, Map<String, Long> stoppingSince, Set<String> killed,
			Map<TaskKey, String> runningTasks, List<Violation> found) {
		switch (changed.state()) {
			case STOPPING -> stoppingSince.put(changed.process(), changed.atNanos());
			case DOWN -> {
				killed.add(changed.process());
				runningTasks.values().remove(changed.process());
			}
			case UP -> {
				stoppingSince.remove(changed.process());
				killed.remove(changed.process());
			}
			case STOPPED -> runningTasks.forEach((task, guard) -> {
				if (guard.equals(changed.process())) {
					found.add(new Violation(name(), changed.atNanos(), guard + " ends while " + task + " runs"));
				}
			});
			default -> {
			}
		}
	}

	private void reportIfInProgress(RequestSent sent, long atNanos, String interruption,
			Map<String, Long> stoppingSince, Set<String> killed, List<Violation> found) {
		String entry = sent.entry().value();
		Long since = stoppingSince.get(entry);
		if (since != null && !killed.contains(entry) && sent.atNanos() + REQUEST_DELAY_NANOS < since) {
			found.add(new Violation(name(), atNanos,
					"request " + sent.requestNumber() + " was in progress at " + entry + " and " + interruption));
		}
	}

}
