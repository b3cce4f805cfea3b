package io.coriandermux.core.lease;

/**
 * One incarnation of an endpoint. A restarted endpoint may keep its id, but no run
 * survives into the next incarnation.
 *
 * @param id id of the endpoint
 * @param startedAtMillis wall-clock time of its start in milliseconds since 1970
 */
public record EndpointIncarnation(String id, long startedAtMillis) {

	private static final int HASH_FACTOR = 31;

	@Override
	public String toString() {
		return this.id + "@" + this.startedAtMillis;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof EndpointIncarnation that && this.startedAtMillis == that.startedAtMillis
				&& this.id.equals(that.id);
	}

	@Override
	public int hashCode() {
		return HASH_FACTOR * this.id.hashCode() + Long.hashCode(this.startedAtMillis);
	}

}
