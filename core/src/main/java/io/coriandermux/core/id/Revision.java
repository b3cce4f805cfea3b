package io.coriandermux.core.id;

/**
 * Modification revision assigned by the platform store; increases with every write.
 *
 * @param value the number
 */
public record Revision(long value) implements Comparable<Revision> {

	@Override
	public int compareTo(Revision other) {
		return Long.compare(this.value, other.value);
	}

}
