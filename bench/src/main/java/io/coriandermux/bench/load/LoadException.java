package io.coriandermux.bench.load;

/**
 * Thrown if a load run cannot be carried out.
 */
public final class LoadException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 * @param cause the cause
	 */
	public LoadException(String message, Throwable cause) {
		super(message, cause);
	}

}
