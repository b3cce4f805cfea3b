package io.coriandermux.core.dispatch;

import java.util.LinkedHashSet;
import java.util.Set;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.run.RunId;

/**
 * A task of a batch.
 */
final class BatchTask {

	/** State of a task. */
	enum State {

		/** It waits for an endpoint. */
		WAITING,

		/** A guard was asked to start it. */
		PLACED,

		/** It is done. */
		DONE

	}

	final Batch batch;

	final int index;

	private final Set<GuardId> failedAt = new LinkedHashSet<>();

	private State state = State.WAITING;

	private int attempt;

	private int failures;

	private GuardId guard;

	private long placedNanos;

	private long settledNanos;

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

	int failures() {
		return this.failures;
	}

	long placedNanos() {
		return this.placedNanos;
	}

	/**
	 * Returns when a run at a lost guard has certainly ended.
	 * @return the time on the monotonic clock, 0 while the guard is linked
	 */
	long settledNanos() {
		return this.settledNanos;
	}

	void unknownUntil(long nanos) {
		this.settledNanos = nanos;
	}

	void linkedAgain() {
		this.settledNanos = 0;
	}

	RunId place(GuardId at, long nowNanos) {
		this.state = State.PLACED;
		this.attempt++;
		this.guard = at;
		this.placedNanos = nowNanos;
		this.settledNanos = 0;
		return run();
	}

	void done() {
		this.state = State.DONE;
	}

	void waitAgain() {
		this.state = State.WAITING;
		this.settledNanos = 0;
	}

	void failed() {
		this.failures++;
		this.failedAt.add(this.guard);
	}

	boolean hasFailedAt(GuardId at) {
		return this.failedAt.contains(at);
	}

}
