package io.coriandermux.daemon.run;

import java.util.List;

import io.coriandermux.daemon.http.HttpPort;

/**
 * Adds HTTP ports that were opened outside a shell to its life cycle. A graceful shutdown
 * refuses requests on these ports only after the process has nothing in progress. Closing
 * the shell closes these ports first.
 */
public final class ShellWithHttpPorts implements Shell {

	/**
	 * Time limit for draining a port. Requests that were read just before are refused
	 * within one iteration of the decision loop.
	 */
	private static final long PORT_DRAIN_LIMIT_MILLIS = 200;

	private final Shell shell;

	private final List<HttpPort> ports;

	/**
	 * Creates a shell that delegates to another shell and manages the ports.
	 * @param shell the shell to delegate to
	 * @param ports the open ports
	 */
	public ShellWithHttpPorts(Shell shell, List<HttpPort> ports) {
		this.shell = shell;
		this.ports = List.copyOf(ports);
	}

	@Override
	public int peerPort() {
		return this.shell.peerPort();
	}

	@Override
	public int operatorsPort() {
		return this.shell.operatorsPort();
	}

	@Override
	public void awaitDrainRequestOrFailure() throws InterruptedException {
		this.shell.awaitDrainRequestOrFailure();
	}

	@Override
	public boolean hasFailed() {
		return this.shell.hasFailed();
	}

	@Override
	public void requestDrain() {
		this.shell.requestDrain();
	}

	@Override
	public void reload() {
		this.shell.reload();
	}

	@Override
	public boolean drain() {
		boolean finished = this.shell.drain();
		for (HttpPort port : this.ports) {
			try {
				finished &= port.drain(PORT_DRAIN_LIMIT_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return false;
			}
		}
		return finished;
	}

	@Override
	public void close() {
		this.ports.forEach(HttpPort::close);
		this.shell.close();
	}

}
