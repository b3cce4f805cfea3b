package io.coriandermux.core.id;

/**
 * Name of a rack.
 *
 * @param value the name, not blank
 */
public record RackName(String value) implements Comparable<RackName> {

	/**
	 * Checks the name.
	 * @param value the name, not blank
	 */
	public RackName {
		if (value.isBlank()) {
			throw new InvalidIdentifierException("RackName is blank");
		}
	}

	@Override
	public int compareTo(RackName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
