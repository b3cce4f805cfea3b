package io.coriandermux.wire;

/**
 * Address at which a process accepts links.
 *
 * @param host IP address
 * @param port TCP port
 */
public record PeerAddress(String host, int port) {

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
