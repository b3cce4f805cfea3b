package io.coriandermux.core.accept;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.TaskKey;

/**
 * The jobs of a home. A finished job is kept for a fixed time. At the limit on the number
 * of jobs, new jobs are refused and no record is dropped. At the byte limit, answers of
 * finished jobs are dropped, oldest first.
 */
public final class JobTable {

	private final long keepNanos;

	private final int maxJobs;

	private final long maxAnswerBytes;

	private final Map<JobKey, JobRecord> jobs = new LinkedHashMap<>();

	private final PriorityQueue<Deadline> deadlines = new PriorityQueue<>(
			Comparator.comparingLong(Deadline::nanos).thenComparingLong(Deadline::sequence));

	private final ArrayDeque<FinishedJob> finishedJobs = new ArrayDeque<>();

	private final ArrayDeque<FinishedJob> answerQueue = new ArrayDeque<>();

	private long answerBytes;

	private long nextSequence;

	private int activeCount;

	/**
	 * Creates an empty table.
	 * @param keepNanos how long a job is kept after its end, in nanoseconds
	 * @param maxJobs limit on the number of jobs
	 * @param maxAnswerBytes limit on the size of the answers of finished jobs in bytes
	 */
	public JobTable(long keepNanos, int maxJobs, long maxAnswerBytes) {
		this.keepNanos = keepNanos;
		this.maxJobs = maxJobs;
		this.maxAnswerBytes = maxAnswerBytes;
	}

	/**
	 * Finds a job.
	 * @param key the job
	 * @return its record, or empty
	 */
	public Optional<JobRecord> find(JobKey key) {
		return Optional.ofNullable(this.jobs.get(key));
	}

	/**
	 * Finds a task.
	 * @param key the task
	 * @return its record, or empty
	 */
	public Optional<TaskRecord> find(TaskKey key) {
		return find(key.job()).filter((job) -> key.index() >= 0 && key.index() < job.tasks().size())
			.map((job) -> job.tasks().get(key.index()));
	}

	/**
	 * Returns whether the number of jobs is below the limit.
	 * @return whether {@link #add} may be called
	 */
	public boolean hasCapacity() {
		return this.jobs.size() < this.maxJobs;
	}

	/**
	 * Adds an accepted job.
	 * @param job its record
	 */
	public void add(JobRecord job) {
		this.jobs.put(job.key(), job);
		this.deadlines.add(new Deadline(job, job.deadlineNanos(), this.nextSequence++));
		this.activeCount++;
	}

	/**
	 * Records the end of a job and starts its retention.
	 * @param job the job
	 * @param now the current time
	 */
	public void markFinished(JobRecord job, Moment now) {
		this.activeCount--;
		FinishedJob ended = new FinishedJob(job, now.nanos(), job.bodyBytes());
		this.finishedJobs.add(ended);
		this.answerQueue.add(ended);
		this.answerBytes += ended.answerBytes();
		while (this.answerBytes > this.maxAnswerBytes) {
			FinishedJob oldest = this.answerQueue.poll();
			this.answerBytes -= oldest.answerBytes();
			if (oldest.answerBytes() > 0) {
				oldest.job().dropBodies();
			}
		}
	}

	/**
	 * Drops a job whose partition moved to another home.
	 * @param job the job
	 */
	public void remove(JobRecord job) {
		this.jobs.remove(job.key(), job);
		if (!job.isFinished()) {
			this.activeCount--;
		}
	}

	/**
	 * Drops finished jobs whose retention has expired.
	 * @param now the current time
	 */
	public void expire(Moment now) {
		while (!this.finishedJobs.isEmpty()
				&& now.nanos() - this.finishedJobs.peek().finishedNanos() >= this.keepNanos) {
			FinishedJob ended = this.finishedJobs.poll();
			this.jobs.remove(ended.job().key(), ended.job());
			if (this.answerQueue.peek() == ended) {
				this.answerQueue.poll();
				this.answerBytes -= ended.answerBytes();
			}
		}
	}

	/**
	 * Removes and returns the unfinished jobs whose deadline has passed, so that each job
	 * is returned only once.
	 * @param now the current time
	 * @return the jobs
	 */
	public List<JobRecord> pollOverdue(Moment now) {
		List<JobRecord> overdue = new ArrayList<>();
		while (!this.deadlines.isEmpty() && this.deadlines.peek().nanos() <= now.nanos()) {
			JobRecord job = this.deadlines.poll().job();
			if (!job.isFinished() && this.jobs.get(job.key()) == job) {
				overdue.add(job);
			}
		}
		return overdue;
	}

	/**
	 * Returns all jobs.
	 * @return the jobs in the order in which they were accepted
	 */
	public Collection<JobRecord> all() {
		return this.jobs.values();
	}

	/**
	 * Returns the number of jobs without an outcome.
	 * @return the number
	 */
	public int activeCount() {
		return this.activeCount;
	}

	/**
	 * Returns the number of jobs.
	 * @return the number
	 */
	public int size() {
		return this.jobs.size();
	}

	private record Deadline(JobRecord job, long nanos, long sequence) {

	}

	private record FinishedJob(JobRecord job, long finishedNanos, long answerBytes) {

	}

}
