package io.coriandermux.wire;

import io.coriandermux.core.id.Incarnation;

/**
 * Identity of one incarnation of a process.
 *
 * @param name name of the process
 * @param incarnation incarnation of the process
 */
public record PeerIdentity(PeerName name, Incarnation incarnation) {

	private static final int HASH_FACTOR = 31;

	@Override
	public boolean equals(Object other) {
		return other instanceof PeerIdentity that && this.name.equals(that.name)
				&& this.incarnation.equals(that.incarnation);
	}

	@Override
	public int hashCode() {
		return HASH_FACTOR * this.name.hashCode() + this.incarnation.hashCode();
	}

}
