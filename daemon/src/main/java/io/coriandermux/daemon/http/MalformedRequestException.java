package io.coriandermux.daemon.http;

/**
 * Thrown if a caller's request is malformed.
 */
public final class MalformedRequestException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message the location in the request and the rule that it violates
	 */
	public MalformedRequestException(String message) {
		super(message);
	}

}
