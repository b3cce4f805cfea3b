package io.coriandermux.core.id;

/**
 * Fencing token of a partition, increased by each change of its home.
 *
 * @param value the number
 */
public record Epoch(long value) implements Comparable<Epoch> {

	@Override
	public int compareTo(Epoch other) {
		return Long.compare(this.value, other.value);
	}

}
