package io.coriandermux.core.accept;

import java.util.Optional;

import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.TaskSpec;
import io.coriandermux.core.id.AttemptId;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.message.Start;
import io.coriandermux.core.queue.QueuedTask;

/**
 * The record of a task at its home.
 */
public final class TaskRecord {

	private static final byte[] NO_BODY = new byte[0];

	private QueuedTask task;

	private TaskState state = TaskState.QUEUED;

	private Outcome outcome = Outcome.UNDECIDED;

	private String reason = "";

	private byte[] body = NO_BODY;

	private GuardId guard;

	private AttemptId attempt;

	private Start start;

	private long usagePeriod;

	/**
	 * Creates the record of a queued task.
	 * @param task the task
	 */
	public TaskRecord(QueuedTask task) {
		this.task = task;
	}

	/**
	 * Records that a {@code Start} was sent.
	 * @param guard the receiver
	 * @param sent the message
	 * @param guardUsagePeriod number of the usage period of the guard in which the credit
	 * was used
	 */
	public void markStarted(GuardId guard, Start sent, long guardUsagePeriod) {
		this.usagePeriod = guardUsagePeriod;
		this.state = TaskState.RUNNING;
		this.guard = guard;
		this.attempt = sent.attempt();
		this.start = sent;
	}

	/**
	 * Records that the task runs according to the ledger of a guard.
	 * @param guard the guard
	 * @param recovered the attempt that started it
	 */
	public void markRecovered(GuardId guard, AttemptId recovered) {
		this.state = TaskState.RUNNING;
		this.guard = guard;
		this.attempt = recovered;
		this.start = null;
	}

	/**
	 * Records that the guard refused the attempt, and queues the task again.
	 */
	public void markQueued() {
		this.state = TaskState.QUEUED;
		this.guard = null;
		this.attempt = null;
		this.start = null;
	}

	/**
	 * Records the outcome and drops the payload, which is no longer needed.
	 * @param result the outcome
	 * @param resultReason the reason as text
	 * @param answer the answer of the endpoint, empty unless the task is complete
	 */
	public void markEnded(Outcome result, String resultReason, byte[] answer) {
		this.state = TaskState.ENDED;
		this.outcome = result;
		this.reason = resultReason;
		this.body = answer;
		this.start = null;
		this.task = withoutPayload(this.task);
	}

	private static QueuedTask withoutPayload(QueuedTask task) {
		TaskSpec spec = new TaskSpec(task.spec().path(), NO_BODY, task.spec().needs(), task.spec().declaredMillis());
		return new QueuedTask(task.task(), task.partition(), task.route(), task.pool(), spec, task.deadlineNanos());
	}

	/**
	 * Records the outcome of a task without an answer.
	 * @param result the outcome
	 * @param resultReason the reason as text
	 */
	public void markEnded(Outcome result, String resultReason) {
		markEnded(result, resultReason, NO_BODY);
	}

	/**
	 * Drops the answer.
	 */
	public void dropBody() {
		this.body = NO_BODY;
	}

	/**
	 * Returns whether a message belongs to the current attempt.
	 * @param sender the guard that sent the message
	 * @param number the attempt in the message
	 * @return whether the task runs on that guard under that attempt
	 */
	public boolean isAttempt(GuardId sender, AttemptId number) {
		return this.state == TaskState.RUNNING && sender.equals(this.guard) && number.equals(this.attempt);
	}

	/**
	 * Returns the usage period of the guard in which the credit was used. The credit is
	 * unknown to the scheduler in any other period.
	 * @return number of the period
	 */
	public long usagePeriod() {
		return this.usagePeriod;
	}

	/**
	 * Returns the task as it was queued.
	 * @return the task
	 */
	public QueuedTask task() {
		return this.task;
	}

	/**
	 * Returns the state of the task.
	 * @return the state
	 */
	public TaskState state() {
		return this.state;
	}

	/**
	 * Returns the outcome.
	 * @return the outcome, {@code UNDECIDED} before the end
	 */
	public Outcome outcome() {
		return this.outcome;
	}

	/**
	 * Returns the reason of the outcome.
	 * @return the reason as text
	 */
	public String reason() {
		return this.reason;
	}

	/**
	 * Returns the answer.
	 * @return the answer, empty if there is none
	 */
	public byte[] body() {
		return this.body;
	}

	/**
	 * Returns the guard of the last attempt.
	 * @return the guard, or empty if the task was not placed
	 */
	public Optional<GuardId> guard() {
		return Optional.ofNullable(this.guard);
	}

	/**
	 * Returns the {@code Start} of the current attempt.
	 * @return the message, or empty if this home sent none
	 */
	public Optional<Start> start() {
		return Optional.ofNullable(this.start);
	}

}
