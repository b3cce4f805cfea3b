package io.coriandermux.bench.capacity;

/**
 * Thrown if a line is to be fitted through fewer than three points.
 */
public final class TooFewPointsException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param name name of the probe
	 * @param points number of points
	 */
	public TooFewPointsException(String name, int points) {
		super("probe " + name + " has " + points + " points; a fit needs at least 3");
	}

}
