package io.coriandermux.core.guard;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.message.LedgerState;
import io.coriandermux.core.message.Start;

/**
 * A task that runs at the endpoint.
 *
 * @param start the message that started it
 * @param starter the entry that started it and whose credit it uses
 * @param startedNanos when it started, on the monotonic clock
 * @param failureState the state it ends in unless the endpoint succeeds
 * @param abortReason reason of the abort, empty if it is not being aborted
 */
record RunningTask(Start start, EntryId starter, long startedNanos, LedgerState failureState, String abortReason) {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	RunningTask withAbort(LedgerState state, String reason) {
		return new RunningTask(this.start, this.starter, this.startedNanos, state, reason);
	}

	boolean isAborting() {
		return !this.abortReason.isEmpty();
	}

	boolean hasExceededTimeLimit(long nowNanos) {
		return nowNanos - this.startedNanos >= this.start.timeLimitMillis() * NANOS_PER_MILLI;
	}

}
