package io.coriandermux.proof.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.coriandermux.core.api.CallerReply;
import io.coriandermux.core.api.JobOutcome;
import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.Refusal;
import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.proof.journal.Journal;
import io.coriandermux.proof.journal.ReplyDecided;
import io.coriandermux.proof.journal.RequestSent;
import io.coriandermux.proof.journal.TaskStarted;

/**
 * P4: a reply with the outcome {@code not_run} is true. No task of the job had started
 * when the reply was decided, and none starts later because of that submission: whenever
 * a task starts, at least one earlier submission of its job has not been answered with
 * {@code not_run}.
 */
public final class NotRunTrue implements Check {

	@Override
	public List<Violation> violations(Journal journal) {
		Calls calls = new Calls(journal);
		Map<Long, ReplyDecided> notRunReplies = firstNotRunReplies(journal);
		Map<JobKey, List<RequestSent>> submissions = new LinkedHashMap<>();
		journal.ofType(RequestSent.class)
			.filter((sent) -> sent.request() instanceof SubmitJob)
			.forEach((sent) -> submissions.computeIfAbsent(Calls.jobKey(sent.request()), (key) -> new ArrayList<>())
				.add(sent));
		List<Violation> found = new ArrayList<>();
		journal.ofType(TaskStarted.class).forEach((started) -> {
			JobKey job = started.task().job();
			notRunReplies.values()
				.stream()
				.filter((decided) -> job.equals(calls.jobKey(decided.requestNumber()))
						&& decided.atNanos() >= started.atNanos())
				.forEach((decided) -> found.add(new Violation(name(), decided.atNanos(), started.task()
						+ " had started at " + started.guard() + ", reply " + describe(decided.reply()))));
			boolean submissionOpen = submissions.getOrDefault(job, List.of())
				.stream()
				.anyMatch((sent) -> sent.atNanos() <= started.atNanos()
						&& !isDecidedBefore(notRunReplies.get(sent.requestNumber()), started.atNanos()));
			if (!submissionOpen) {
				found.add(new Violation(name(), started.atNanos(),
						started.task() + " starts at " + started.guard() + " after every submission was refused"));
			}
		});
		return found;
	}

	private static boolean isDecidedBefore(ReplyDecided decided, long atNanos) {
		return decided != null && decided.atNanos() < atNanos;
	}

	// Only the first reply to a request counts, because the entry that forwarded the
	// request later passes the same reply on to the caller.
	private static Map<Long, ReplyDecided> firstNotRunReplies(Journal journal) {
		Map<Long, ReplyDecided> first = new LinkedHashMap<>();
		journal.ofType(ReplyDecided.class)
			.filter((decided) -> isNotRun(decided.reply()))
			.forEach((decided) -> first.putIfAbsent(decided.requestNumber(), decided));
		return first;
	}

	private static boolean isNotRun(CallerReply reply) {
		if (reply instanceof JobOutcome outcome) {
			return outcome.outcome() == Outcome.NOT_RUN;
		}
		return reply instanceof Refusal refusal && refusal.outcome() == Outcome.NOT_RUN;
	}

	private static String describe(CallerReply reply) {
		if (reply instanceof JobOutcome outcome) {
			return outcome.outcome() + "/" + outcome.code();
		}
		return (reply instanceof Refusal refusal) ? refusal.outcome() + "/" + refusal.code() : "none";
	}

}
