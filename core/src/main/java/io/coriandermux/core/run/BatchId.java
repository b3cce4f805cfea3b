package io.coriandermux.core.run;

import io.coriandermux.core.id.InvalidIdentifierException;

/**
 * Id of a batch, which is a job whose tasks run under leases. Assigned by the caller.
 *
 * @param value the id, not blank
 */
public record BatchId(String value) implements Comparable<BatchId> {

	/**
	 * Creates an id.
	 * @param value the id, not blank
	 */
	public BatchId {
		if (value.isBlank()) {
			throw new InvalidIdentifierException("BatchId is blank");
		}
	}

	@Override
	public int compareTo(BatchId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof BatchId that && this.value.equals(that.value);
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
	}

}
