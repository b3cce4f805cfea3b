package io.coriandermux.wire;

import java.util.Locale;

/**
 * Name of a process in links and their events.
 *
 * @param role role of the process
 * @param id id of the process, unique within its role
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
