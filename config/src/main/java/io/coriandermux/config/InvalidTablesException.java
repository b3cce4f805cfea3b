package io.coriandermux.config;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown if documents of a configuration break rules. None of the documents may be used.
 */
public final class InvalidTablesException extends Exception {

	private final transient List<TableError> errors;

	/**
	 * Creates the exception.
	 * @param errors all errors, at least one
	 */
	public InvalidTablesException(List<TableError> errors) {
		super(errors.stream().map(TableError::toString).collect(Collectors.joining("\n")));
		this.errors = List.copyOf(errors);
	}

	/**
	 * Returns all errors.
	 * @return the errors in the order in which they were found
	 */
	public List<TableError> errors() {
		return this.errors;
	}

}
