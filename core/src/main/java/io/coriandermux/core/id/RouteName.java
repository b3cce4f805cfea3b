package io.coriandermux.core.id;

/**
 * Name of a route, unique within its owner.
 *
 * @param value the name, not blank
 */
public record RouteName(String value) implements Comparable<RouteName> {

	/**
	 * Checks the name.
	 * @param value the name, not blank
	 */
	public RouteName {
		if (value.isBlank()) {
			throw new InvalidIdentifierException("RouteName is blank");
		}
	}

	@Override
	public int compareTo(RouteName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof RouteName that && this.value.equals(that.value);
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
	}

}
