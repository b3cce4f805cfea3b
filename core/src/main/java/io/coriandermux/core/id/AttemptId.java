package io.coriandermux.core.id;

/**
 * Identifies one {@code Start} message from a home for one task; unique per incarnation
 * of the home.
 *
 * @param value the number
 */
public record AttemptId(long value) implements Comparable<AttemptId> {

	@Override
	public int compareTo(AttemptId other) {
		return Long.compare(this.value, other.value);
	}

}
