package io.coriandermux.core.id;

/**
 * Name under which an endpoint is registered.
 *
 * @param value the name, not blank
 */
public record EndpointName(String value) implements Comparable<EndpointName> {

	/**
	 * Checks the name.
	 * @param value the name, not blank
	 */
	public EndpointName {
		if (value.isBlank()) {
			throw new InvalidIdentifierException("EndpointName is blank");
		}
	}

	@Override
	public int compareTo(EndpointName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
