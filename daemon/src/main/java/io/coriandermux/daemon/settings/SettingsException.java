package io.coriandermux.daemon.settings;

import java.util.List;

/**
 * Thrown if settings are invalid. The message lists every error.
 */
public final class SettingsException extends Exception {

	private static final long serialVersionUID = 1L;

	private final transient List<String> errors;

	/**
	 * Creates the exception.
	 * @param errors all errors, each with the path of its field
	 */
	public SettingsException(List<String> errors) {
		super(String.join("\n", errors));
		this.errors = List.copyOf(errors);
	}

	/**
	 * Returns all errors.
	 * @return the errors, each with the path of its field
	 */
	public List<String> errors() {
		return this.errors;
	}

}
