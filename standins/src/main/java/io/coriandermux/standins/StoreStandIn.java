package io.coriandermux.standins;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Clock;
import java.time.InstantSource;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;

/**
 * Stand-in for the platform's key-value store: an HTTP server on loopback that keeps its
 * keys in memory.
 */
public final class StoreStandIn implements AutoCloseable {

	private static final String HOST = "127.0.0.1";

	private static final long MAX_BODY_BYTES = 2_000_000L;

	private final StoreHandler handler;

	private final Undertow server;

	private StoreStandIn(StoreHandler handler, Undertow server) {
		this.handler = handler;
		this.server = server;
	}

	/**
	 * Starts a store whose leases expire by the system clock.
	 * @param port the port on loopback, 0 for any free port
	 * @return the running store
	 */
	public static StoreStandIn start(int port) {
		return start(port, Clock.systemUTC());
	}

	/**
	 * Starts a store whose leases expire by the given clock.
	 * @param port the port on loopback, 0 for any free port
	 * @param clock the clock of the leases
	 * @return the running store
	 */
	public static StoreStandIn start(int port, InstantSource clock) {
		StoreHandler handler = new StoreHandler(new KvState(clock));
		Undertow server = Undertow.builder()
			.addHttpListener(port, HOST)
			.setIoThreads(2)
			.setWorkerThreads(2)
			.setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
			.setHandler(handler)
			.build();
		server.start();
		return new StoreStandIn(handler, server);
	}

	/**
	 * Returns the address of the store.
	 * @return the address
	 */
	public URI url() {
		InetSocketAddress address = (InetSocketAddress) this.server.getListenerInfo().get(0).getAddress();
		return URI.create("http://" + HOST + ":" + address.getPort());
	}

	/**
	 * Sets the fault switches.
	 * @param faults the switches
	 */
	public void setFaults(StoreFaults faults) {
		this.handler.setFaults(faults);
	}

	/**
	 * Returns the numbers of calls received so far.
	 * @return the counts
	 */
	public StoreCallCounts callCounts() {
		return this.handler.callCounts();
	}

	@Override
	public void close() {
		this.server.stop();
	}

}
