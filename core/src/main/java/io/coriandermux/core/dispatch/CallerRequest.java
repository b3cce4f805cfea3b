package io.coriandermux.core.dispatch;

import java.util.Optional;

import io.coriandermux.core.id.Moment;
import io.coriandermux.core.message.BatchClaim;
import io.coriandermux.core.run.BatchId;

/**
 * A request to run a batch together with its caller.
 *
 * @param caller the caller
 * @param host host of the request
 * @param path path of the request
 * @param request the request
 * @param receivedNanos time on the monotonic clock at which the entry received it
 * @param mayHaveRun whether runs of an earlier request for the same batch were sent to
 * guards, so that the batch can't be refused as not run
 * @param released the claim of the entry that has released the batch, if any
 */
record CallerRequest(CallerRef caller, String host, String path, BatchRequest request, long receivedNanos,
		boolean mayHaveRun, Optional<BatchClaim> released) {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	BatchId id() {
		return this.request.id();
	}

	/**
	 * Returns the earliest time at which the caller may have sent the request.
	 * @return the time on the monotonic clock
	 */
	long sentNanos() {
		return this.receivedNanos - this.request.ageMillis() * NANOS_PER_MILLI;
	}

	/**
	 * Returns the time at which the caller may have stopped waiting.
	 * @return the time on the monotonic clock
	 */
	long waitEndNanos() {
		return sentNanos() + this.request.waitMillis() * NANOS_PER_MILLI;
	}

	/**
	 * Returns the longest possible time since the caller sent the request.
	 * @param now the current time
	 * @return the time in milliseconds
	 */
	long ageMillis(Moment now) {
		return (now.nanos() - sentNanos()) / NANOS_PER_MILLI;
	}

	/**
	 * Returns this request as it is served after the runs of an earlier one have ended.
	 * @param claim the claim of the entry that has released the batch, if any
	 * @return the request
	 */
	CallerRequest afterEarlierRuns(Optional<BatchClaim> claim) {
		return new CallerRequest(this.caller, this.host, this.path, this.request, this.receivedNanos, true, claim);
	}

}
