package io.coriandermux.core.id;

/**
 * Name of an owner: a customer whose jobs, quota and failure accounting are isolated from
 * those of other owners.
 *
 * @param value the name, not blank
 */
public record OwnerId(String value) implements Comparable<OwnerId> {

	/**
	 * Checks the name.
	 * @param value the name, not blank
	 */
	public OwnerId {
		if (value.isBlank()) {
			throw new InvalidIdentifierException("OwnerId is blank");
		}
	}

	@Override
	public int compareTo(OwnerId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof OwnerId that && this.value.equals(that.value);
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
	}

}
