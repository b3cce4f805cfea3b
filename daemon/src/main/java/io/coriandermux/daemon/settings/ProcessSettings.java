package io.coriandermux.daemon.settings;

import java.net.URI;
import java.util.List;

import io.coriandermux.core.id.RackName;
import io.coriandermux.core.id.ZoneName;

/**
 * Settings that entries and guards share.
 *
 * @param id name of the process
 * @param zone availability zone of the process
 * @param rack rack of the process
 * @param address IP address that the process listens on and announces
 * @param peerPort TCP port for links, 0 for any free port
 * @param operatorsPort HTTP port for operators, 0 for any free port
 * @param stores URLs of the platform store
 * @param secret shared secret of all processes of the installation
 * @param connections maximum number of connections per port
 * @param drainMillis maximum duration of a graceful shutdown in milliseconds
 */
public record ProcessSettings(String id, ZoneName zone, RackName rack, String address, int peerPort, int operatorsPort,
		List<URI> stores, String secret, int connections, long drainMillis) {

	@Override
	public String toString() {
		return "ProcessSettings[id=" + this.id + ", secret withheld]";
	}

}
