package io.coriandermux.proof.check;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import io.coriandermux.core.api.JobOutcome;
import io.coriandermux.core.api.JobRunning;
import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.proof.journal.Journal;
import io.coriandermux.proof.journal.ReplyReceived;
import io.coriandermux.proof.simulation.Payload;

/**
 * P3: a caller receives the answer to its own request. The simulated endpoints derive an
 * answer from owner, job, task and payload, so the answer to another task differs from
 * the expected one.
 */
public final class OwnAnswer implements Check {

	@Override
	public List<Violation> violations(Journal journal) {
		Calls calls = new Calls(journal);
		List<Violation> found = new ArrayList<>();
		journal.ofType(ReplyReceived.class).forEach((received) -> {
			String mismatch = describeMismatch(received, calls);
			if (!mismatch.isEmpty()) {
				found.add(new Violation(name(), received.atNanos(),
						"request " + received.requestNumber() + ": " + mismatch));
			}
		});
		return found;
	}

	private static String describeMismatch(ReplyReceived received, Calls calls) {
		JobKey job = calls.jobKey(received.requestNumber());
		if (received.reply() instanceof JobRunning running) {
			return (job == null || !running.job().equals(job.job())) ? "state of " + running.job() : "";
		}
		if (!(received.reply() instanceof JobOutcome outcome)) {
			return "";
		}
		if (job == null || !outcome.job().equals(job.job())) {
			return "outcome of " + outcome.job() + " instead of " + job;
		}
		return (outcome.outcome() == Outcome.COMPLETE) ? compareBodies(job, outcome, calls.submission(job)) : "";
	}

	private static String compareBodies(JobKey job, JobOutcome outcome, SubmitJob submission) {
		if (submission == null) {
			return "answer to a job that was never submitted";
		}
		int tasks = Math.min(outcome.tasks().size(), submission.tasks().size());
		for (int index = 0; index < tasks; index++) {
			byte[] expected = Payload.answer(new TaskKey(job, index), submission.tasks().get(index).payload());
			byte[] body = outcome.tasks().get(index).body();
			if (body.length > 0 && !Arrays.equals(expected, body)) {
				return "task " + index + " of " + job + " got \"" + new String(body, StandardCharsets.UTF_8) + "\"";
			}
		}
		return "";
	}

}
