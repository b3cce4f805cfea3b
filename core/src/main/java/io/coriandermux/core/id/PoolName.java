package io.coriandermux.core.id;

/**
 * Name of a pool, unique over all owners.
 *
 * @param value the name, not blank
 */
public record PoolName(String value) implements Comparable<PoolName> {

	/**
	 * Checks the name.
	 * @param value the name, not blank
	 */
	public PoolName {
		if (value.isBlank()) {
			throw new InvalidIdentifierException("PoolName is blank");
		}
	}

	@Override
	public int compareTo(PoolName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof PoolName that && this.value.equals(that.value);
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
	}

}
