package io.coriandermux.proof.check;

import java.util.ArrayList;
import java.util.List;

import io.coriandermux.core.api.JobOutcome;
import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.api.TaskResult;
import io.coriandermux.proof.journal.Journal;
import io.coriandermux.proof.journal.ReplyReceived;

/**
 * P2: the answer to a job is never partial. A complete answer has a body for each task,
 * and any other outcome has no bodies.
 */
public final class WholeAnswer implements Check {

	@Override
	public List<Violation> violations(Journal journal) {
		Calls calls = new Calls(journal);
		List<Violation> found = new ArrayList<>();
		journal.ofType(ReplyReceived.class).forEach((received) -> {
			if (received.reply() instanceof JobOutcome outcome) {
				String defect = describeDefect(outcome, calls.submission(calls.jobKey(received.requestNumber())));
				if (!defect.isEmpty()) {
					found.add(new Violation(name(), received.atNanos(), outcome.job() + ": " + defect));
				}
			}
		});
		return found;
	}

	private static String describeDefect(JobOutcome outcome, SubmitJob submission) {
		long bodies = outcome.tasks().stream().filter((task) -> task.body().length > 0).count();
		if (outcome.outcome() != Outcome.COMPLETE) {
			return (bodies > 0) ? outcome.outcome() + " with " + bodies + " answers" : "";
		}
		int expected = (submission != null) ? submission.tasks().size() : outcome.tasks().size();
		if (outcome.tasks().size() != expected || bodies != expected) {
			return "complete with " + bodies + " answers of " + expected;
		}
		for (TaskResult task : outcome.tasks()) {
			if (task.outcome() != Outcome.COMPLETE) {
				return "complete with a task that is " + task.outcome();
			}
		}
		return "";
	}

}
