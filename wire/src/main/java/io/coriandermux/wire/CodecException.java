package io.coriandermux.wire;

/**
 * Thrown if a frame, handshake or message is malformed, truncated or rejected, or exceeds
 * a limit.
 */
public final class CodecException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message description of the error, which includes the limit that was exceeded
	 */
	public CodecException(String message) {
		super(message);
	}

	/**
	 * Creates the exception with its cause.
	 * @param message description of the error
	 * @param cause cause of the error
	 */
	public CodecException(String message, Throwable cause) {
		super(message, cause);
	}

}
