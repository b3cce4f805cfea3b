package io.coriandermux.config;

import java.util.Locale;

/**
 * Rule that a configuration document can break.
 */
public enum TableRule {

	/** The text is not a single JSON object. */
	MALFORMED,

	/** The key is not that of a routes or pools document. */
	UNKNOWN_KEY,

	/** An object has a field that is not defined for it. */
	UNKNOWN_FIELD,

	/** A mandatory field is missing. */
	MISSING_FIELD,

	/** A field or item has the wrong JSON type. */
	WRONG_TYPE,

	/** A number is outside its range, or a text is not of the required form. */
	OUT_OF_RANGE,

	/** A name, path or endpoint pattern occurs twice. */
	DUPLICATE_NAME,

	/** A route names a pool that does not exist. */
	UNKNOWN_POOL,

	/** A route names a pool that its owner may not use. */
	POOL_NOT_OPEN,

	/** A document or list is larger than its limit. */
	TOO_LARGE,

	/** The owner in the document is not the owner in its key. */
	OTHER_OWNER;

	/**
	 * Returns the name of the rule as written in messages and JSON output.
	 * @return the lower-case name
	 */
	public String text() {
		return name().toLowerCase(Locale.ROOT);
	}

}
