package io.coriandermux.core.id;

/**
 * Identifies one run of a process; a restarted process has another one.
 *
 * @param value the number
 */
public record Incarnation(long value) implements Comparable<Incarnation> {

	/** Numbers that one incarnation can give out: 16 million. */
	private static final int NUMBER_BITS = 24;

	/**
	 * Returns the number before the first one that this incarnation gives out. Numbers of
	 * different incarnations differ, so a message to a former incarnation is not taken
	 * for one to this incarnation. With incarnations in milliseconds a process would have
	 * to give out 16 million numbers per millisecond to reach those of its successor.
	 * @return the number
	 */
	public long firstNumber() {
		return this.value << NUMBER_BITS;
	}

	@Override
	public int compareTo(Incarnation other) {
		return Long.compare(this.value, other.value);
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof Incarnation that && this.value == that.value;
	}

	@Override
	public int hashCode() {
		return Long.hashCode(this.value);
	}

}
