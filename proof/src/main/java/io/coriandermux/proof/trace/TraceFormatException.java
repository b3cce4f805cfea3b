package io.coriandermux.proof.trace;

/**
 * Thrown when a trace or the matrix of expected outcomes is malformed.
 */
public final class TraceFormatException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message the description of the malformed line
	 * @param cause the cause, or null if there is none
	 */
	public TraceFormatException(String message, Throwable cause) {
		super(message, cause);
	}

}
