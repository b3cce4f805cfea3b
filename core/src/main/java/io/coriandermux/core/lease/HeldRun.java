package io.coriandermux.core.lease;

import java.util.LinkedHashSet;
import java.util.Set;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.run.Amounts;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;

/**
 * A run that holds resources of the endpoint.
 */
final class HeldRun {

	/** State of a run between the order and its end. */
	enum State {

		/** The order to start is not answered yet. */
		ASKED,

		/** The order to start was not answered; the run may start now or later. */
		UNKNOWN,

		/** The endpoint has confirmed the start. */
		RUNNING,

		/** The run is being stopped. */
		STOPPING

	}

	final RunId run;

	final Amounts needs;

	final long askedNanos;

	private final Set<EntryId> formerEntries = new LinkedHashSet<>();

	private EntryId entry;

	private State state = State.ASKED;

	private RunOutcome stopReason = RunOutcome.STOPPED;

	private long orderedNanos;

	private long confirmedByPoll = Long.MAX_VALUE;

	private OrderResult startResult = OrderResult.UNANSWERED;

	private int percent = -1;

	private long progressNanos;

	HeldRun(RunId run, EntryId entry, Amounts needs, long nowNanos) {
		this.run = run;
		this.entry = entry;
		this.needs = needs;
		this.askedNanos = nowNanos;
		this.orderedNanos = nowNanos;
		this.progressNanos = nowNanos;
	}

	/**
	 * Returns the entry that has asked for the run last.
	 * @return the entry
	 */
	EntryId entry() {
		return this.entry;
	}

	/**
	 * Returns the entries that have asked for the run before. They hear of its end too.
	 * @return the entries
	 */
	Set<EntryId> formerEntries() {
		return this.formerEntries;
	}

	void passTo(EntryId next) {
		this.formerEntries.add(this.entry);
		this.formerEntries.remove(next);
		this.entry = next;
	}

	State state() {
		return this.state;
	}

	RunOutcome stopReason() {
		return this.stopReason;
	}

	OrderResult startResult() {
		return this.startResult;
	}

	void startResult(OrderResult result) {
		this.startResult = result;
	}

	long orderedNanos() {
		return this.orderedNanos;
	}

	/**
	 * Returns the number of the first poll whose answer shows the run if it exists.
	 * @return the number, the highest possible one while the endpoint has not answered
	 * the last order
	 */
	long confirmedByPoll() {
		return this.confirmedByPoll;
	}

	void started(long nextLook) {
		this.state = State.RUNNING;
		this.confirmedByPoll = nextLook;
	}

	void unanswered() {
		this.state = State.UNKNOWN;
	}

	void stopping(RunOutcome reason, long nowNanos) {
		if (this.state != State.STOPPING) {
			this.stopReason = reason;
			this.confirmedByPoll = Long.MAX_VALUE;
		}
		this.state = State.STOPPING;
		this.orderedNanos = nowNanos;
	}

	void stopConfirmed(long nextLook) {
		this.confirmedByPoll = Math.min(this.confirmedByPoll, nextLook);
	}

	void progress(int value, long nowNanos) {
		if (value != this.percent) {
			this.percent = value;
			this.progressNanos = nowNanos;
		}
	}

	long progressNanos() {
		return this.progressNanos;
	}

}
