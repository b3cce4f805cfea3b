package io.coriandermux.config;

/**
 * An error in a configuration document.
 *
 * @param document the key of the document
 * @param pointer the JSON pointer to the faulty value, empty for the whole document
 * @param rule the broken rule
 * @param message the description of the error
 */
public record TableError(String document, String pointer, TableRule rule, String message) {

	@Override
	public String toString() {
		return this.document + this.pointer.replaceFirst("^", "#") + ": " + this.rule.text() + ": " + this.message;
	}

}
