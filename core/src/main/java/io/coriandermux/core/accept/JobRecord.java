package io.coriandermux.core.accept;

import java.util.List;
import java.util.Optional;

import io.coriandermux.core.api.JobOutcome;
import io.coriandermux.core.api.JobRunning;
import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.api.TaskResult;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.PartitionEpoch;

/**
 * The record of a job at its home.
 */
public final class JobRecord {

	private final JobKey key;

	private final PartitionEpoch home;

	private final long content;

	private final long deadlineNanos;

	private final List<TaskRecord> tasks;

	private FailureCause cause;

	private boolean bodiesDropped;

	private boolean finished;

	/**
	 * Creates the record of an accepted job.
	 * @param key the job
	 * @param home its partition and the epoch under which it was accepted
	 * @param content hash of its tasks
	 * @param deadlineNanos when it must be answered, on the monotonic clock
	 * @param tasks its tasks in order
	 */
	public JobRecord(JobKey key, PartitionEpoch home, long content, long deadlineNanos, List<TaskRecord> tasks) {
		this.key = key;
		this.home = home;
		this.content = content;
		this.deadlineNanos = deadlineNanos;
		this.tasks = List.copyOf(tasks);
	}

	/**
	 * Records why the job cannot complete. Only the first cause is kept.
	 * @param newCause the cause
	 * @return whether it is the first cause
	 */
	public boolean fail(FailureCause newCause) {
		if (this.cause != null) {
			return false;
		}
		this.cause = newCause;
		return true;
	}

	/**
	 * Finishes the job if it is unfinished and all its tasks have ended.
	 * @return whether the job was finished by this call
	 */
	public boolean tryFinish() {
		if (this.finished || this.tasks.stream().anyMatch((task) -> task.state() != TaskState.ENDED)) {
			return false;
		}
		this.finished = true;
		return true;
	}

	/**
	 * Drops the answers to stay within the byte limit.
	 */
	public void dropBodies() {
		this.bodiesDropped = true;
		this.tasks.forEach(TaskRecord::dropBody);
	}

	/**
	 * Returns the progress of an unfinished job.
	 * @return the number of tasks in each state
	 */
	public JobRunning progress() {
		return new JobRunning(this.key.job(), countTasks(TaskState.QUEUED), countTasks(TaskState.RUNNING),
				countTasks(TaskState.ENDED));
	}

	/**
	 * Returns the outcome of a finished job. It contains answers only if every task was
	 * answered.
	 * @return the outcome
	 */
	public JobOutcome outcome() {
		if (isAnswered() && this.bodiesDropped) {
			return buildOutcome(Outcome.FAILED, ReplyCode.ANSWER_DROPPED,
					"every task was answered, but the answers were dropped to stay within a byte bound");
		}
		if (isAnswered()) {
			return buildOutcome(Outcome.COMPLETE, ReplyCode.OK, "");
		}
		return buildOutcome(failureOutcome(), this.cause.code(), this.cause.reason());
	}

	/**
	 * Returns the outcome to report while this entry is not confirmed as home: it does
	 * not claim that a task was not run.
	 * @param reason why the entry is unconfirmed
	 * @return the outcome, in which each {@code NOT_RUN} is {@code UNDECIDED}
	 */
	public JobOutcome unconfirmedOutcome(String reason) {
		JobOutcome known = outcome();
		// If no task failed, the failure was decided by this entry alone, and another
		// home may have completed the job.
		boolean decidedHere = known.outcome() == Outcome.FAILED && known.tasks()
			.stream()
			.allMatch((task) -> task.outcome() == Outcome.COMPLETE || task.outcome() == Outcome.NOT_RUN);
		boolean undecided = known.outcome() == Outcome.NOT_RUN || decidedHere;
		List<TaskResult> results = known.tasks()
			.stream()
			.map((task) -> (task.outcome() == Outcome.NOT_RUN) ? new TaskResult(Outcome.UNDECIDED, reason, task.body())
					: task)
			.toList();
		return new JobOutcome(known.job(), undecided ? Outcome.UNDECIDED : known.outcome(),
				undecided ? ReplyCode.HOME_UNCONFIRMED : known.code(), undecided ? reason : known.reason(), results);
	}

	// A cancellation or deadline after the end of the last task is ignored: the ledgers
	// show that the job is complete, and a later home would report it as complete.
	private boolean isAnswered() {
		return this.cause == null || (this.cause.code() != ReplyCode.ANSWER_DROPPED
				&& this.tasks.stream().allMatch((task) -> task.outcome() == Outcome.COMPLETE));
	}

	private Outcome failureOutcome() {
		if (this.tasks.stream().allMatch((task) -> task.outcome() == Outcome.NOT_RUN)) {
			return Outcome.NOT_RUN;
		}
		return (this.cause.outcome() == Outcome.OUTCOME_UNKNOWN) ? Outcome.OUTCOME_UNKNOWN : Outcome.FAILED;
	}

	private JobOutcome buildOutcome(Outcome result, ReplyCode code, String reason) {
		boolean complete = result == Outcome.COMPLETE;
		List<TaskResult> results = this.tasks.stream()
			.map((task) -> new TaskResult(task.outcome(), task.reason(), complete ? task.body() : new byte[0]))
			.toList();
		return new JobOutcome(this.key.job(), result, code, reason, results);
	}

	private int countTasks(TaskState state) {
		return (int) this.tasks.stream().filter((task) -> task.state() == state).count();
	}

	/**
	 * Returns the size of the stored answers.
	 * @return the size in bytes
	 */
	public long bodyBytes() {
		return this.tasks.stream().mapToLong((task) -> task.body().length).sum();
	}

	/**
	 * Returns the key of the job.
	 * @return the key
	 */
	public JobKey key() {
		return this.key;
	}

	/**
	 * Returns the partition of the job and the epoch under which it was accepted.
	 * @return the partition with its epoch
	 */
	public PartitionEpoch home() {
		return this.home;
	}

	/**
	 * Returns the hash of the tasks.
	 * @return the hash
	 */
	public long content() {
		return this.content;
	}

	/**
	 * Returns when the job must be answered.
	 * @return the deadline on the monotonic clock, in nanoseconds
	 */
	public long deadlineNanos() {
		return this.deadlineNanos;
	}

	/**
	 * Returns the tasks.
	 * @return the tasks in order
	 */
	public List<TaskRecord> tasks() {
		return this.tasks;
	}

	/**
	 * Returns why the job cannot complete.
	 * @return the first cause, or empty if there is none
	 */
	public Optional<FailureCause> cause() {
		return Optional.ofNullable(this.cause);
	}

	/**
	 * Returns whether the job has an outcome.
	 * @return whether all its tasks have ended
	 */
	public boolean isFinished() {
		return this.finished;
	}

}
