package io.coriandermux.proof.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.proof.journal.FaultsEnded;
import io.coriandermux.proof.journal.JobSettled;
import io.coriandermux.proof.journal.Journal;
import io.coriandermux.proof.journal.RequestFailed;
import io.coriandermux.proof.journal.RequestSent;

/**
 * Each submitted job gets an outcome or a typed refusal within a time limit after the
 * faults have ended, and each request after the recovery gets a reply.
 */
public final class Liveness implements Check {

	/**
	 * Longest deadline of a job in a run (20 s), twice the time that a request waits for
	 * its reply, and a margin.
	 */
	private static final long MAX_JOB_NANOS = 40_000_000_000L;

	/** Time that the processes have to recover from the last fault. */
	private static final long RECOVERY_NANOS = 15_000_000_000L;

	@Override
	public List<Violation> violations(Journal journal) {
		List<Violation> found = new ArrayList<>();
		long faultsEndNanos = journal.ofType(FaultsEnded.class).mapToLong(FaultsEnded::atNanos).max().orElse(0);
		Map<JobKey, Long> deadlines = new LinkedHashMap<>();
		journal.ofType(RequestSent.class)
			.filter((sent) -> sent.request() instanceof SubmitJob)
			.forEach((sent) -> deadlines.putIfAbsent(Calls.jobKey(sent.request()),
					Math.max(faultsEndNanos, sent.atNanos()) + MAX_JOB_NANOS));
		journal.ofType(JobSettled.class).forEach((settled) -> {
			Long deadline = deadlines.remove(settled.job());
			if (deadline != null && settled.atNanos() > deadline) {
				found.add(new Violation(name(), settled.atNanos(), settled.job() + " settled too late"));
			}
		});
		deadlines.forEach((job, deadline) -> {
			if (deadline <= journal.endNanos()) {
				found.add(new Violation(name(), deadline, job + " has no outcome"));
			}
		});
		Calls calls = new Calls(journal);
		journal.ofType(RequestFailed.class)
			.filter((failure) -> failure.timedOut()
					&& calls.request(failure.requestNumber()).atNanos() > faultsEndNanos + RECOVERY_NANOS)
			.forEach((failure) -> found
				.add(new Violation(name(), failure.atNanos(), "request " + failure.requestNumber() + " has no reply")));
		return found;
	}

}
