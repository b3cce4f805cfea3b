package io.coriandermux.core.id;

/**
 * Name of an entry process, from its settings.
 *
 * @param value the name, not blank
 */
public record EntryId(String value) implements Comparable<EntryId> {

	/**
	 * Checks the name.
	 * @param value the name, not blank
	 */
	public EntryId {
		if (value.isBlank()) {
			throw new InvalidIdentifierException("EntryId is blank");
		}
	}

	@Override
	public int compareTo(EntryId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof EntryId that && this.value.equals(that.value);
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
	}

}
