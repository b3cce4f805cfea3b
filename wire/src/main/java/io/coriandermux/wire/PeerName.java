package io.coriandermux.wire;

import java.util.Locale;

/**
 * Name of a process at the other end of a link.
 *
 * @param role its kind
 * @param id its id
 */
public record PeerName(PeerRole role, String id) {

	private static final int HASH_FACTOR = 31;

	@Override
	public String toString() {
		return this.role.name().toLowerCase(Locale.ROOT) + " " + this.id;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof PeerName that && this.role == that.role && this.id.equals(that.id);
	}

	@Override
	public int hashCode() {
		return HASH_FACTOR * this.role.hashCode() + this.id.hashCode();
	}

}
