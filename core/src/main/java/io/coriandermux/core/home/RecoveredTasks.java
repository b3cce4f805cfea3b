package io.coriandermux.core.home;

import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.coriandermux.core.id.AttemptId;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.message.Answer;
import io.coriandermux.core.message.LedgerEntry;
import io.coriandermux.core.message.LedgerState;

/**
 * Tasks that previous homes started, recovered from the ledgers of guards. Ledgers hold
 * no payloads, so the tasks are kept until the caller resubmits the job.
 */
public final class RecoveredTasks {

	private final long keepNanos;

	private final Map<JobKey, TreeMap<Integer, RecoveredTask>> jobs = new LinkedHashMap<>();

	private final Map<JobKey, Long> newestNanos = new LinkedHashMap<>();

	private final ArrayDeque<JobExpiry> expiryQueue = new ArrayDeque<>();

	/**
	 * Creates an empty collection.
	 * @param keepNanos how long a job is kept after its newest task was recovered or
	 * ended, in nanoseconds
	 */
	public RecoveredTasks(long keepNanos) {
		this.keepNanos = keepNanos;
	}

	/**
	 * Adds a ledger entry.
	 * @param entry the entry
	 * @param guard the guard
	 * @param now the current time
	 */
	public void add(LedgerEntry entry, GuardId guard, Moment now) {
		JobKey job = entry.task().job();
		this.jobs.computeIfAbsent(job, (missing) -> new TreeMap<>())
			.put(entry.task().index(), new RecoveredTask(entry, guard, false));
		this.newestNanos.put(job, now.nanos());
		this.expiryQueue.add(new JobExpiry(job, now.nanos()));
	}

	/**
	 * Records the end of a recovered task.
	 * @param answer the guard's answer
	 * @param guard the guard
	 * @param now the current time
	 * @return whether the answer belongs to a running recovered task
	 */
	public boolean recordAnswer(Answer answer, GuardId guard, Moment now) {
		RecoveredTask recovered = this.jobs.getOrDefault(answer.task().job(), new TreeMap<>())
			.get(answer.task().index());
		if (recovered == null || !isRunningAttempt(recovered, guard, answer.attempt())) {
			return false;
		}
		LedgerEntry entry = recovered.entry();
		add(new LedgerEntry(entry.task(), entry.partition(), entry.attempt(), entry.contentHash(), answer.state(),
				answer.body(), answer.bodyComplete(), answer.runNanos()), guard, now);
		return true;
	}

	private static boolean isRunningAttempt(RecoveredTask recovered, GuardId guard, AttemptId attempt) {
		return recovered.guard().equals(guard) && recovered.entry().state() == LedgerState.STARTED
				&& recovered.entry().attempt().equals(attempt);
	}

	/**
	 * Marks the running tasks of a lost guard, whose outcome is unknown.
	 * @param guard the guard
	 */
	public void onGuardLost(GuardId guard) {
		for (TreeMap<Integer, RecoveredTask> tasks : this.jobs.values()) {
			tasks.replaceAll((index, recovered) -> (recovered.guard().equals(guard) && isRunning(recovered))
					? new RecoveredTask(recovered.entry(), guard, true) : recovered);
		}
	}

	/**
	 * Returns the recovered tasks of a job.
	 * @param job the job
	 * @return its tasks by index, empty if none was recovered
	 */
	public Map<Integer, RecoveredTask> tasksOf(JobKey job) {
		return this.jobs.getOrDefault(job, new TreeMap<>());
	}

	/**
	 * Drops the tasks of a job for which a record was created.
	 * @param job the job
	 */
	public void remove(JobKey job) {
		this.jobs.remove(job);
		this.newestNanos.remove(job);
	}

	/**
	 * Drops the tasks of partitions that moved to another home.
	 * @param lost numbers of these partitions
	 */
	public void remove(BitSet lost) {
		List<JobKey> movedJobs = this.jobs.entrySet()
			.stream()
			.filter((entry) -> lost.get(entry.getValue().firstEntry().getValue().entry().partition().number()))
			.map(Map.Entry::getKey)
			.toList();
		movedJobs.forEach(this::remove);
	}

	/**
	 * Drops jobs whose retention has expired. The retention of a job restarts while one
	 * of its tasks runs.
	 * @param now the current time
	 */
	public void expire(Moment now) {
		while (!this.expiryQueue.isEmpty() && now.nanos() - this.expiryQueue.peek().recordedNanos() >= this.keepNanos) {
			JobExpiry expiry = this.expiryQueue.poll();
			JobKey job = expiry.job();
			if (this.newestNanos.getOrDefault(job, expiry.recordedNanos()) != expiry.recordedNanos()) {
				continue;
			}
			if (tasksOf(job).values().stream().anyMatch(RecoveredTasks::isRunning)) {
				this.newestNanos.put(job, now.nanos());
				this.expiryQueue.add(new JobExpiry(job, now.nanos()));
			}
			else {
				remove(job);
			}
		}
	}

	private static boolean isRunning(RecoveredTask recovered) {
		return recovered.entry().state() == LedgerState.STARTED && !recovered.guardLost();
	}

	/**
	 * Returns the number of jobs with recovered tasks.
	 * @return the number
	 */
	public int size() {
		return this.jobs.size();
	}

	private record JobExpiry(JobKey job, long recordedNanos) {

	}

}
