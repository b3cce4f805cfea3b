package io.coriandermux.core.dispatch;

import java.util.LinkedHashSet;
import java.util.Set;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.run.RunId;

/**
 * State of a task of a batch and of its latest run.
 */
final class BatchTask {

	/** State of a task at the entry. */
	enum State {

		/** The task waits for an endpoint. */
		WAITING,

		/** A request to start the task was sent to a guard. */
		PLACED,

		/** The task has completed successfully. */
		DONE

	}

	final Batch batch;

	final int index;

	private final Set<GuardId> failedGuards = new LinkedHashSet<>();

	private State state = State.WAITING;

	private int attempt;

	private int failures;

	private GuardId guard;

	private PooledEndpoint placedAt;

	private long order;

	private long placedNanos;

	private long certainEndNanos;

	private double drainRate;

	private long runNanos;

	private PooledEndpoint ranAt;

	BatchTask(Batch batch, int index) {
		this.batch = batch;
		this.index = index;
	}

	State state() {
		return this.state;
	}

	RunId run() {
		return new RunId(this.batch.id(), 0, this.index, this.attempt);
	}

	GuardId guard() {
		return this.guard;
	}

	/**
	 * Returns the incarnation of the guard that the task was sent to last.
	 * @return the incarnation, not defined before the first run
	 */
	Incarnation guardIncarnation() {
		return this.placedAt.incarnation();
	}

	/**
	 * Returns the work at average speed that the run completes per millisecond.
	 * @return the work in millicores times milliseconds
	 */
	double drainRate() {
		return this.drainRate;
	}

	int failures() {
		return this.failures;
	}

	/**
	 * Records the order that was sent to start the run.
	 * @param endpoint the endpoint with the incarnation of its guard
	 * @param number number of the order in the session with that incarnation
	 */
	void setOrder(PooledEndpoint endpoint, long number) {
		this.placedAt = endpoint;
		this.order = number;
	}

	/**
	 * Sets the time at which the run has certainly ended after the loss of its guard. If
	 * a later incarnation of the guard is lost, an earlier time remains.
	 * @param endpoint the endpoint with the incarnation of the lost guard
	 * @param startedEndNanos the time if the run is known to have started
	 * @param unstartedEndNanos the time if it may start late
	 */
	void onGuardLost(PooledEndpoint endpoint, long startedEndNanos, long unstartedEndNanos) {
		if (this.placedAt == endpoint) {
			this.certainEndNanos = endpoint.isConfirmed(this.order) ? startedEndNanos : unstartedEndNanos;
		}
		else if (this.certainEndNanos == 0) {
			this.certainEndNanos = unstartedEndNanos;
		}
	}

	long placedNanos() {
		return this.placedNanos;
	}

	/**
	 * Returns the time at which a run at a lost guard has certainly ended.
	 * @return the time on the monotonic clock, 0 while the guard is connected
	 */
	long certainEndNanos() {
		return this.certainEndNanos;
	}

	void clearCertainEnd() {
		this.certainEndNanos = 0;
	}

	RunId place(GuardId target, double drained, long nowNanos) {
		this.drainRate = drained;
		this.state = State.PLACED;
		this.attempt++;
		this.guard = target;
		this.placedNanos = nowNanos;
		this.certainEndNanos = 0;
		return run();
	}

	/**
	 * Marks the task as done.
	 * @param endpoint the endpoint that ran it
	 * @param nanos its run time there in nanoseconds
	 */
	void markDone(PooledEndpoint endpoint, long nanos) {
		this.state = State.DONE;
		this.ranAt = endpoint;
		this.runNanos = nanos;
	}

	long runNanos() {
		return this.runNanos;
	}

	/**
	 * Returns the endpoint that completed the task.
	 * @return the endpoint, null until the task is done
	 */
	PooledEndpoint ranAt() {
		return this.ranAt;
	}

	void requeue() {
		this.state = State.WAITING;
		this.certainEndNanos = 0;
	}

	void recordFailure() {
		this.failures++;
		this.failedGuards.add(this.guard);
	}

	boolean hasFailedAt(GuardId target) {
		return this.failedGuards.contains(target);
	}

}
