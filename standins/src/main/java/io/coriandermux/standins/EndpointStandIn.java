package io.coriandermux.standins;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Map;

import io.undertow.Undertow;

/**
 * Stand-in for an endpoint: an HTTP server on loopback that answers a task after the run
 * time in its payload. It counts how often each task was started.
 */
public final class EndpointStandIn implements AutoCloseable {

	private static final String HOST = "127.0.0.1";

	private final EndpointHandler handler;

	private final Undertow server;

	private EndpointStandIn(EndpointHandler handler, Undertow server) {
		this.handler = handler;
		this.server = server;
	}

	/**
	 * Starts an endpoint.
	 * @param port the port on loopback, 0 for any free port
	 * @param name the name of the endpoint
	 * @param slots the maximum number of tasks that run at the same time
	 * @param speed the run time of a task is its {@code sleepMs} divided by this factor
	 * @return the running endpoint
	 */
	public static EndpointStandIn start(int port, String name, int slots, double speed) {
		EndpointHandler handler = new EndpointHandler(name, slots, speed);
		Undertow server = Undertow.builder()
			.addHttpListener(port, HOST)
			.setIoThreads(1)
			.setWorkerThreads(1)
			.setHandler(handler)
			.build();
		server.start();
		return new EndpointStandIn(handler, server);
	}

	/**
	 * Returns the address of the endpoint.
	 * @return the address
	 */
	public URI url() {
		InetSocketAddress address = (InetSocketAddress) this.server.getListenerInfo().get(0).getAddress();
		return URI.create("http://" + HOST + ":" + address.getPort());
	}

	/**
	 * Returns how often each task was started.
	 * @return the number of starts by {@code owner/job/task}
	 */
	public Map<String, Integer> startCounts() {
		return this.handler.startCounts();
	}

	/**
	 * Sets whether every task fails.
	 * @param allTasksFail whether every task fails
	 */
	public void setAllTasksFail(boolean allTasksFail) {
		this.handler.setAllTasksFail(allTasksFail);
	}

	@Override
	public void close() {
		this.server.stop();
	}

}
