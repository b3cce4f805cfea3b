package io.coriandermux.core.lease;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;

/**
 * A run that holds resources of the endpoint.
 */
final class HeldRun {

	/** State of a run between the start order and its end. */
	enum State {

		/** The start order has not been answered yet. */
		START_PENDING,

		/** The start order timed out; the run may have started or may still start. */
		START_UNCONFIRMED,

		/** The endpoint has confirmed the start. */
		RUNNING,

		/** The run is being stopped. */
		STOPPING

	}

	/**
	 * An order without an answer may be carried out up to 12 s later. The time counts
	 * from the order, which may leave this VM a little later.
	 */
	private static final long MAX_START_DELAY_NANOS = 12_500_000_000L;

	final RunId run;

	/** The entry that has requested the run. */
	final EntryIncarnation owner;

	final ResourceAmounts needs;

	final long requestedNanos;

	private long order;

	private String spec = "";

	/** Fencing token of the last start order. */
	private long startToken;

	private long startSentNanos;

	private int startOrders = 1;

	private int startAnswers;

	/** Start orders that count as unanswered while their calls have not ended. */
	private int overdueStarts;

	private State state = State.START_PENDING;

	private RunOutcome stopOutcome = RunOutcome.STOPPED;

	private long lastOrderNanos;

	private long firstConclusivePoll = Long.MAX_VALUE;

	private OrderResult startResult = OrderResult.UNANSWERED;

	private int percent = -1;

	private long progressNanos;

	private boolean stopRequested;

	private long stopRequestedNanos;

	private long confirmedBeforeStopNanos;

	private int stopOrders;

	private long stopToken;

	private boolean stopRefused;

	private boolean startOverdue;

	private boolean foundActive;

	private boolean started;

	private boolean listed;

	private EndProof endProof;

	HeldRun(RunId run, EntryIncarnation owner, long order, ResourceAmounts needs, long startToken, long nowNanos) {
		this.order = order;
		this.startToken = startToken;
		this.run = run;
		this.owner = owner;
		this.needs = needs;
		this.requestedNanos = nowNanos;
		this.startSentNanos = nowNanos;
		this.lastOrderNanos = nowNanos;
		this.progressNanos = nowNanos;
	}

	String spec() {
		return this.spec;
	}

	void setSpec(String value) {
		this.spec = value;
	}

	long startToken() {
		return this.startToken;
	}

	long startSentNanos() {
		return this.startSentNanos;
	}

	int startOrders() {
		return this.startOrders;
	}

	/**
	 * Records that the start order is repeated because it was not answered and the run is
	 * not active.
	 * @param token fencing token of the order
	 * @param nowNanos the current time on the monotonic clock
	 */
	void repeatStart(long token, long nowNanos) {
		this.startOrders++;
		this.startToken = token;
		this.startSentNanos = nowNanos;
		this.lastOrderNanos = nowNanos;
		this.state = State.START_PENDING;
	}

	/**
	 * Records the end of a call with a start order.
	 * @param answered whether the endpoint has answered
	 * @return whether it was an earlier order that already counted as unanswered
	 */
	boolean endStartCall(boolean answered) {
		if (answered) {
			this.startAnswers++;
		}
		if (this.overdueStarts == 0) {
			return false;
		}
		this.overdueStarts--;
		return true;
	}

	boolean hasUnansweredStart() {
		// Each order is carried out once, so the only one has been if the run was active.
		boolean carriedOut = this.startOrders == 1 && this.listed;
		return !carriedOut && this.startAnswers < this.startOrders;
	}

	/**
	 * Returns whether a start order may still be carried out. The present incarnation of
	 * the endpoint can be kept from it by a token or a stop order, but the next one knows
	 * neither until this guard has reached it.
	 * @param nowNanos the current time on the monotonic clock
	 * @return whether a start order was not answered and is not too old
	 */
	boolean mayStartLate(long nowNanos) {
		return hasUnansweredStart() && nowNanos - this.startSentNanos < MAX_START_DELAY_NANOS;
	}

	EntryId entry() {
		return this.owner.entry();
	}

	/**
	 * Returns the number of the entry's order to start the run.
	 * @return the number
	 */
	long order() {
		return this.order;
	}

	void setOrder(long number) {
		this.order = number;
	}

	State state() {
		return this.state;
	}

	RunOutcome stopOutcome() {
		return this.stopOutcome;
	}

	OrderResult startResult() {
		return this.startResult;
	}

	void setStartResult(OrderResult result) {
		this.startResult = result;
		this.started = this.started || result == OrderResult.ACCEPTED;
	}

	/**
	 * Returns whether the run is known to have started. If not, its start order may still
	 * be carried out.
	 * @return whether the endpoint has accepted the start order or listed the run
	 */
	boolean isStarted() {
		return this.started;
	}

	void markStarted() {
		this.started = true;
	}

	/**
	 * Returns whether a poll has listed the run. The answer to a start order alone does
	 * not tell which incarnation of the endpoint has started the run.
	 * @return whether it was active at the incarnation that the guard knew
	 */
	boolean wasListed() {
		return this.listed;
	}

	void markListed() {
		this.listed = true;
		this.started = true;
	}

	long lastOrderNanos() {
		return this.lastOrderNanos;
	}

	/**
	 * Returns the number of the first poll whose answer is certain to list the run if it
	 * is active.
	 * @return the number, {@code Long.MAX_VALUE} while the endpoint has not answered the
	 * last order
	 */
	long firstConclusivePoll() {
		return this.firstConclusivePoll;
	}

	void markRunning(long nextPoll) {
		this.state = State.RUNNING;
		this.firstConclusivePoll = nextPoll;
	}

	void markOverdue() {
		this.overdueStarts++;
		markUnconfirmed();
	}

	void markUnconfirmed() {
		this.startOverdue = true;
		this.state = State.START_UNCONFIRMED;
	}

	void markStopping(RunOutcome outcome, long nowNanos) {
		if (this.state != State.STOPPING) {
			this.stopOutcome = outcome;
			this.firstConclusivePoll = Long.MAX_VALUE;
		}
		this.state = State.STOPPING;
		this.stopRefused = false;
		this.lastOrderNanos = nowNanos;
	}

	/**
	 * Returns whether the endpoint has refused the last stop order.
	 * @return whether no stop order is on its way
	 */
	boolean isStopRefused() {
		return this.stopRefused;
	}

	void markStopRefused() {
		this.stopRefused = true;
	}

	/**
	 * Marks the run as one that has to be stopped at a new incarnation of the endpoint,
	 * which does not know about earlier stop orders.
	 * @param outcome outcome of the run unless it was being stopped before
	 */
	void restartStop(RunOutcome outcome) {
		markStopping(outcome, 0);
		this.firstConclusivePoll = Long.MAX_VALUE;
	}

	void confirmStop(long nextPoll) {
		this.firstConclusivePoll = Math.min(this.firstConclusivePoll, nextPoll);
	}

	void updateProgress(int value, long nowNanos) {
		if (value != this.percent) {
			this.percent = value;
			this.progressNanos = nowNanos;
		}
	}

	long progressNanos() {
		return this.progressNanos;
	}

	boolean isStopRequested() {
		return this.stopRequested;
	}

	/**
	 * Records the first request to stop the run.
	 * @param confirmedNanos last confirmation of the session of its entry
	 * @param nowNanos the current time on the monotonic clock
	 */
	void recordStopRequest(long confirmedNanos, long nowNanos) {
		this.stopRequested = true;
		this.stopRequestedNanos = nowNanos;
		this.confirmedBeforeStopNanos = confirmedNanos;
	}

	long stopRequestedNanos() {
		return this.stopRequestedNanos;
	}

	long confirmedBeforeStopNanos() {
		return this.confirmedBeforeStopNanos;
	}

	/**
	 * Counts a stop order.
	 * @return the number of stop orders for this run so far
	 */
	int countStopOrder() {
		this.stopOrders++;
		return this.stopOrders;
	}

	/**
	 * Returns the fencing token of the last stop order.
	 * @return the token, 0 if no stop order was sent
	 */
	long stopToken() {
		return this.stopToken;
	}

	void setStopToken(long token) {
		this.stopToken = token;
	}

	int stopOrders() {
		return this.stopOrders;
	}

	/**
	 * Returns whether the start order was not answered in time and its answer, if any,
	 * did not confirm the run.
	 * @return whether a run that the endpoint lists was started late
	 */
	boolean isStartOverdue() {
		return this.startOverdue && this.startResult == OrderResult.UNANSWERED;
	}

	/**
	 * Records that the endpoint listed the run although its start was not answered.
	 * @return whether this is the first time
	 */
	boolean markFoundActive() {
		boolean first = !this.foundActive;
		this.foundActive = true;
		return first;
	}

	/**
	 * Returns how the end of the run is known.
	 * @return the proof, null until the run has ended
	 */
	EndProof endProof() {
		return this.endProof;
	}

	void setEndProof(EndProof proof) {
		this.endProof = proof;
	}

}
