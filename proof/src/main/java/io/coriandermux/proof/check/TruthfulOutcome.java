package io.coriandermux.proof.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.coriandermux.core.api.CancelJob;
import io.coriandermux.core.api.JobOutcome;
import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.proof.journal.Journal;
import io.coriandermux.proof.journal.Observation;
import io.coriandermux.proof.journal.ReplyReceived;
import io.coriandermux.proof.journal.RequestSent;
import io.coriandermux.proof.journal.TaskFinished;

/**
 * Outcomes are reported truthfully: each task of a complete job succeeded at an endpoint,
 * a job is reported as failed by an endpoint or as cancelled only if a task failed or a
 * caller cancelled the job, and no job is reported both as complete and as failed.
 */
public final class TruthfulOutcome implements Check {

	@Override
	public List<Violation> violations(Journal journal) {
		Calls calls = new Calls(journal);
		List<Violation> found = new ArrayList<>();
		Set<TaskKey> succeeded = new LinkedHashSet<>();
		Set<JobKey> failed = new LinkedHashSet<>();
		Set<JobKey> cancelled = new LinkedHashSet<>();
		Map<JobKey, Outcome> reported = new LinkedHashMap<>();
		for (Observation observation : journal.all()) {
			if (observation instanceof TaskFinished finished) {
				if (finished.success()) {
					succeeded.add(finished.task());
				}
				else {
					failed.add(finished.task().job());
				}
			}
			else if (observation instanceof RequestSent sent && sent.request() instanceof CancelJob) {
				cancelled.add(Calls.jobKey(sent.request()));
			}
			else if (observation instanceof ReplyReceived received && received.reply() instanceof JobOutcome outcome) {
				JobKey job = calls.jobKey(received.requestNumber());
				String contradiction = describeContradiction(job, outcome, succeeded, failed, cancelled);
				if (outcome.outcome() == Outcome.COMPLETE || outcome.outcome() == Outcome.FAILED) {
					Outcome earlier = reported.putIfAbsent(job, outcome.outcome());
					contradiction = (earlier != null && earlier != outcome.outcome()) ? "was " + earlier
							: contradiction;
				}
				if (!contradiction.isEmpty()) {
					found.add(new Violation(name(), received.atNanos(),
							job + " " + outcome.outcome() + "/" + outcome.code() + ": " + contradiction));
				}
			}
		}
		return found;
	}

	private static String describeContradiction(JobKey job, JobOutcome outcome, Set<TaskKey> succeeded,
			Set<JobKey> failed, Set<JobKey> cancelled) {
		if (outcome.outcome() == Outcome.COMPLETE) {
			for (int index = 0; index < outcome.tasks().size(); index++) {
				if (!succeeded.contains(new TaskKey(job, index))) {
					return "task " + index + " did not finish";
				}
			}
		}
		if (outcome.outcome() != Outcome.FAILED) {
			return "";
		}
		if (outcome.code() == ReplyCode.CANCELLED) {
			return cancelled.contains(job) ? "" : "nobody cancelled it";
		}
		boolean reportsTaskFailure = outcome.code() == ReplyCode.ENDPOINT_FAILED
				|| outcome.code() == ReplyCode.TIME_LIMIT;
		return (reportsTaskFailure && !failed.contains(job)) ? "no task failed" : "";
	}

}
