package io.coriandermux.daemon.run;

/**
 * Thrown when a value in the store does not have the format that its key requires.
 */
public final class MalformedValueException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message the key and the error
	 */
	public MalformedValueException(String message) {
		super(message);
	}

}
