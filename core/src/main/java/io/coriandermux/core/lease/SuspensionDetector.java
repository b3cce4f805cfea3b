package io.coriandermux.core.lease;

import io.coriandermux.core.id.Moment;

/**
 * Detects that the VM may have been suspended: the monotonic clock does not advance
 * during a suspension, the wall clock does. A step of the wall clock has the same effect.
 */
public final class SuspensionDetector {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final long toleranceMillis;

	private long offsetMillis;

	private boolean known;

	/**
	 * Creates a detector that has not read the clocks yet.
	 * @param toleranceMillis jump of the wall clock that is not reported, in milliseconds
	 */
	public SuspensionDetector(long toleranceMillis) {
		this.toleranceMillis = toleranceMillis;
	}

	/**
	 * Compares the clocks. Jumps within the tolerance add up until they exceed it,
	 * because several short suspensions extend a session as much as a long one does. A
	 * wall clock that is adjusted gradually, by up to 0.5 ms per second, is reported
	 * every few minutes, which only causes another ping.
	 * @param now the current time
	 * @return by how much the wall clock has advanced relative to the monotonic clock
	 * since the last reported jump or the last time it was set back, in milliseconds, 0
	 * if within the tolerance
	 */
	public long jumpMillis(Moment now) {
		long offset = now.epochMillis() - now.nanos() / NANOS_PER_MILLI;
		if (!this.known || offset < this.offsetMillis) {
			this.offsetMillis = offset;
			this.known = true;
			return 0;
		}
		long jump = offset - this.offsetMillis;
		if (jump <= this.toleranceMillis) {
			return 0;
		}
		this.offsetMillis = offset;
		return jump;
	}

}
