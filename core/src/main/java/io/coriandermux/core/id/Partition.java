package io.coriandermux.core.id;

/**
 * One of a fixed number of partitions of the job key space.
 *
 * @param number the number, from 0 to {@link #COUNT} - 1
 */
public record Partition(int number) {

	/** Number of partitions. */
	public static final int COUNT = 1024;

	/**
	 * Checks the number.
	 * @param number the number, from 0 to {@link #COUNT} - 1
	 */
	public Partition {
		if (number < 0 || number >= COUNT) {
			throw new InvalidIdentifierException("partition " + number + " is outside 0 to " + (COUNT - 1));
		}
	}

}
