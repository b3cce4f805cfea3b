package io.coriandermux.bench.capacity;

/**
 * Thrown if a probe cannot complete the operation whose cost it measures. Unchecked,
 * because probes are lambdas of functional interfaces of the JDK.
 */
public final class ProbeException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 * @param cause the cause
	 */
	public ProbeException(String message, Throwable cause) {
		super(message, cause);
	}

}
