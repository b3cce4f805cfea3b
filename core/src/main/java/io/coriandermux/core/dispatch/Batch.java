package io.coriandermux.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import io.coriandermux.core.run.BatchId;

/**
 * State of a batch at the entry that accepted it.
 */
final class Batch {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/**
	 * A batch passes a longer one that arrived earlier by less than this multiple of the
	 * difference of their run times. Short work then hardly waits behind long work, and
	 * long work does not starve.
	 */
	private static final int AGING_FACTOR = 5;

	private final BatchRequest request;

	private final BatchRoute route;

	private final long sequence;

	private final long arrivedNanos;

	private final long deadlineNanos;

	private final long urgencyNanos;

	private final long latestStartNanos;

	private final long lastUsefulStartNanos;

	private final long expectedNanos;

	private final ResponseObjective objective;

	private final List<BatchTask> tasks = new ArrayList<>();

	private final Set<CallerRef> callers = new LinkedHashSet<>();

	private final List<CallerRequest> requests = new ArrayList<>();

	private boolean started;

	private boolean answered;

	private int unfinishedTasks;

	Batch(BatchRequest request, BatchRoute route, long sequence, BatchTimes times) {
		this.request = request;
		this.route = route;
		this.sequence = sequence;
		this.arrivedNanos = times.arrivedNanos();
		this.deadlineNanos = times.deadlineNanos();
		this.urgencyNanos = times.arrivedNanos() + AGING_FACTOR * times.expectedNanos();
		this.latestStartNanos = times.latestStartNanos();
		this.lastUsefulStartNanos = times.lastUsefulStartNanos();
		this.expectedNanos = times.expectedNanos();
		this.objective = times.objective();
		for (int index = 0; index < request.tasks().count(); index++) {
			this.tasks.add(new BatchTask(this, index));
		}
		this.unfinishedTasks = this.tasks.size();
	}

	/**
	 * Orders started batches first, then by arrival and expected run time.
	 * @param other another batch
	 * @return a negative number if this batch is more urgent, 0 if it is the same
	 */
	int compareUrgency(Batch other) {
		if (this.started != other.started) {
			return this.started ? -1 : 1;
		}
		int byUrgency = Long.compare(this.urgencyNanos, other.urgencyNanos);
		return (byUrgency != 0) ? byUrgency : Long.compare(this.sequence, other.sequence);
	}

	BatchId id() {
		return this.request.id();
	}

	BatchRequest request() {
		return this.request;
	}

	BatchRoute route() {
		return this.route;
	}

	long arrivedNanos() {
		return this.arrivedNanos;
	}

	/**
	 * Returns the earliest time at which the caller may have sent the request.
	 * @return the time on the monotonic clock
	 */
	long sentNanos() {
		return this.arrivedNanos - this.request.ageMillis() * NANOS_PER_MILLI;
	}

	long deadlineNanos() {
		return this.deadlineNanos;
	}

	long latestStartNanos() {
		return this.latestStartNanos;
	}

	long lastUsefulStartNanos() {
		return this.lastUsefulStartNanos;
	}

	long expectedNanos() {
		return this.expectedNanos;
	}

	/**
	 * Returns the probability that a task that starts now meets the objective.
	 * @param slowness run time at the endpoint relative to average speed
	 * @param startNanos time of the start on the monotonic clock
	 * @return the probability
	 */
	double probabilityOnTime(double slowness, long startNanos) {
		return this.objective.probabilityOnTime(slowness, startNanos - this.arrivedNanos);
	}

	List<BatchTask> tasks() {
		return this.tasks;
	}

	Set<CallerRef> callers() {
		return this.callers;
	}

	void addRequest(CallerRequest added) {
		this.callers.add(added.caller());
		this.requests.add(added);
	}

	/**
	 * Returns the requests whose callers wait.
	 * @return the requests
	 */
	List<CallerRequest> waitingRequests() {
		return this.requests.stream().filter((each) -> this.callers.contains(each.caller())).toList();
	}

	boolean isStarted() {
		return this.started;
	}

	/**
	 * Marks the batch as started because one of its runs was sent to a guard. The order
	 * of the sorted set of waiting batches depends on this mark, so the batch must not be
	 * in that set during this call.
	 */
	void markStarted() {
		this.started = true;
	}

	boolean isAnswered() {
		return this.answered;
	}

	void markAnswered() {
		this.answered = true;
	}

	/**
	 * Counts a task as done.
	 * @return whether all tasks are done
	 */
	boolean onTaskDone() {
		this.unfinishedTasks--;
		return this.unfinishedTasks == 0;
	}

	boolean hasWaitingTask() {
		return this.tasks.stream().anyMatch((task) -> task.state() == BatchTask.State.WAITING);
	}

	boolean hasPlacedTask() {
		return this.tasks.stream().anyMatch((task) -> task.state() == BatchTask.State.PLACED);
	}

}
