package io.coriandermux.core.lease;

import io.coriandermux.core.id.Moment;

/**
 * Detects that the VM may have been suspended: the monotonic clock does not advance
 * during a suspension, the wall clock does. A step of the wall clock has the same effect.
 */
final class SuspensionDetector {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final long toleranceMillis;

	private long offsetMillis;

	private boolean known;

	SuspensionDetector(long toleranceMillis) {
		this.toleranceMillis = toleranceMillis;
	}

	/**
	 * Compares the clocks.
	 * @param now the current time
	 * @return by how much the wall clock has advanced relative to the monotonic clock
	 * since the last call, in milliseconds, 0 if within the tolerance
	 */
	long jumpMillis(Moment now) {
		long offset = now.epochMillis() - now.nanos() / NANOS_PER_MILLI;
		long jump = this.known ? offset - this.offsetMillis : 0;
		this.offsetMillis = offset;
		this.known = true;
		return (jump > this.toleranceMillis) ? jump : 0;
	}

}
