package io.coriandermux.wire;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/**
 * Address at which a process accepts links.
 *
 * @param host IP address
 * @param port TCP port
 */
public record PeerAddress(String host, int port) {

	private static final int MAX_PORT = 65_535;

	/** An IPv6 address that ends in an IPv4 address has 45 characters. */
	private static final int MAX_HOST_CHARACTERS = 45;

	private static final Pattern IPV4 = Pattern.compile("(0|[1-9][0-9]{0,2})(\\.(0|[1-9][0-9]{0,2})){3}");

	/** The JDK takes a text of this form as an IPv6 address and never as a name. */
	private static final Pattern IPV6 = Pattern.compile("[0-9a-fA-F:][0-9a-fA-F:.]*:[0-9a-fA-F:.]*");

	/**
	 * Returns the socket address to connect to. It never looks up a name: a lookup can
	 * take seconds, and the thread that connects serves all links.
	 * @return the socket address
	 * @throws InvalidAddressException if the host is not the IP address of a single
	 * process or the port cannot be connected to
	 */
	public InetSocketAddress toSocketAddress() throws InvalidAddressException {
		if (this.port < 1 || this.port > MAX_PORT) {
			throw invalid("the port " + this.port + " is not between 1 and " + MAX_PORT);
		}
		if (this.host.length() > MAX_HOST_CHARACTERS) {
			throw invalid("the host has " + this.host.length() + " characters");
		}
		if (!IPV4.matcher(this.host).matches() && !IPV6.matcher(this.host).matches()) {
			throw invalid("the host " + this.host + " is not an IP address");
		}
		try {
			InetAddress address = InetAddress.getByName(this.host);
			if (address.isAnyLocalAddress() || address.isMulticastAddress()) {
				throw invalid("the host " + this.host + " is not the address of a single process");
			}
			return new InetSocketAddress(address, this.port);
		}
		catch (UnknownHostException ex) {
			throw invalid("the host " + this.host + " is not an IP address");
		}
	}

	private static InvalidAddressException invalid(String reason) {
		return new InvalidAddressException("not a valid address: " + reason);
	}

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
