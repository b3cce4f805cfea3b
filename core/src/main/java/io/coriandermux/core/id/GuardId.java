package io.coriandermux.core.id;

/**
 * Name of a guard process, from its settings.
 *
 * @param value the name, not blank
 */
public record GuardId(String value) implements Comparable<GuardId> {

	/**
	 * Checks the name.
	 * @param value the name, not blank
	 */
	public GuardId {
		if (value.isBlank()) {
			throw new InvalidIdentifierException("GuardId is blank");
		}
	}

	@Override
	public int compareTo(GuardId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof GuardId that && this.value.equals(that.value);
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
	}

}
