package io.coriandermux.cli;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Thrown if a command fails; carries the exit code and further fields of the JSON report.
 */
public final class CliException extends Exception {

	private final ExitCode code;

	private final transient ObjectNode details;

	/**
	 * Creates the exception.
	 * @param code the exit code
	 * @param message the human-readable message
	 */
	public CliException(ExitCode code, String message) {
		this(code, message, JsonNodeFactory.instance.objectNode());
	}

	/**
	 * Creates the exception.
	 * @param code the exit code
	 * @param message the human-readable message
	 * @param details further fields of the JSON report
	 */
	public CliException(ExitCode code, String message, ObjectNode details) {
		super(message);
		this.code = code;
		this.details = details;
	}

	/**
	 * Returns the exit code.
	 * @return the exit code
	 */
	public ExitCode code() {
		return this.code;
	}

	/**
	 * Returns the JSON report of the failure.
	 * @return an object with code, message and further fields
	 */
	public ObjectNode toJson() {
		return JsonNodeFactory.instance.objectNode()
			.put("error", this.code.text())
			.put("message", getMessage())
			.setAll(this.details);
	}

}
