package io.coriandermux.proof.check;

/**
 * A violation of a guarantee, found by a check.
 *
 * @param check name of the check that found the violation
 * @param atNanos simulated time of the violation in nanoseconds
 * @param detail the observation that violates the guarantee
 */
public record Violation(String check, long atNanos, String detail) {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	@Override
	public String toString() {
		return this.check + " at " + this.atNanos / NANOS_PER_MILLI + " ms: " + this.detail;
	}

}
