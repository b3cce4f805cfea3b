package io.coriandermux.core.id;

/**
 * Identifies one run of a process; it changes with each restart.
 *
 * @param value the number
 */
public record Incarnation(long value) implements Comparable<Incarnation> {

	/** Bits for the sequence numbers of one incarnation: 16 million numbers. */
	private static final int SEQUENCE_BITS = 24;

	/**
	 * Returns the base of the sequence numbers of this incarnation: the number before the
	 * first one that it assigns. Numbers of different incarnations differ, so a message
	 * to an earlier incarnation is not mistaken for one to this incarnation. With start
	 * times in milliseconds as incarnations, a process would have to assign 16 million
	 * numbers per millisecond to reach those of the next incarnation.
	 * @return the number
	 */
	public long sequenceBase() {
		return this.value << SEQUENCE_BITS;
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
