package io.coriandermux.core.id;

/**
 * Name of an availability zone.
 *
 * @param value the name, not blank
 */
public record ZoneName(String value) implements Comparable<ZoneName> {

	/**
	 * Checks the name.
	 * @param value the name, not blank
	 */
	public ZoneName {
		if (value.isBlank()) {
			throw new InvalidIdentifierException("ZoneName is blank");
		}
	}

	@Override
	public int compareTo(ZoneName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
