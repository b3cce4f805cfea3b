package io.coriandermux.core.id;

/**
 * Thrown if the text or number of an identifier violates the rules of its type.
 */
public final class InvalidIdentifierException extends IllegalArgumentException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message the type of the identifier and the rule that the value violates
	 */
	public InvalidIdentifierException(String message) {
		super(message);
	}

}
