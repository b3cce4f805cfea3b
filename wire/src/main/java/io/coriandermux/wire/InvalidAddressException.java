package io.coriandermux.wire;

/**
 * Thrown if an address is not an IP address at which a process can accept links.
 */
public final class InvalidAddressException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message the address and the rule that it violates
	 */
	public InvalidAddressException(String message) {
		super(message);
	}

}
