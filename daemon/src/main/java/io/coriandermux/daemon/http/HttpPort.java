package io.coriandermux.daemon.http;

import java.net.InetSocketAddress;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.GracefulShutdownHandler;
import org.xnio.Options;

/**
 * An HTTP server on one port.
 */
public final class HttpPort implements AutoCloseable {

	/** Time limit for receiving the request line and the headers, in milliseconds. */
	private static final int HEADER_TIMEOUT_MILLIS = 5000;

	/** Time after which an idle connection is closed, in milliseconds. */
	private static final int IDLE_TIMEOUT_MILLIS = 120_000;

	private static final int MAX_HEADER_BYTES = 16 * 1024;

	private static final int MAX_HEADERS = 64;

	private static final int MAX_PARAMETERS = 16;

	private static final int BACKLOG = 1024;

	private final Undertow server;

	private final GracefulShutdownHandler shutdownHandler;

	private HttpPort(Undertow server, GracefulShutdownHandler shutdownHandler) {
		this.server = server;
		this.shutdownHandler = shutdownHandler;
	}

	/**
	 * Binds a port and starts the server.
	 * @param address the IP address to listen on
	 * @param port the port, 0 for any free port
	 * @param options limits of the port
	 * @param handler handles the requests; must not block
	 * @return the port
	 */
	public static HttpPort open(String address, int port, HttpPortOptions options, HttpHandler handler) {
		GracefulShutdownHandler shutdownHandler = new GracefulShutdownHandler(handler);
		Undertow server = Undertow.builder()
			.addHttpListener(port, address)
			.setIoThreads(options.ioThreads())
			.setWorkerThreads(1)
			.setServerOption(UndertowOptions.MAX_ENTITY_SIZE, options.maxBodyBytes())
			.setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
			.setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
			.setServerOption(UndertowOptions.MAX_PARAMETERS, MAX_PARAMETERS)
			.setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEADER_TIMEOUT_MILLIS)
			.setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
			.setSocketOption(Options.BACKLOG, BACKLOG)
			.setSocketOption(Options.TCP_NODELAY, true)
			.setSocketOption(Options.CONNECTION_HIGH_WATER, options.maxConnections())
			.setSocketOption(Options.CONNECTION_LOW_WATER, options.maxConnections())
			.setHandler(shutdownHandler)
			.build();
		server.start();
		return new HttpPort(server, shutdownHandler);
	}

	/**
	 * Returns the bound port.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.server.getListenerInfo().get(0).getAddress()).getPort();
	}

	/**
	 * Refuses new requests and waits for the requests in progress to end.
	 * @param timeoutMillis maximum wait in milliseconds
	 * @return whether all requests have ended
	 * @throws InterruptedException if the thread is interrupted
	 */
	public boolean drain(long timeoutMillis) throws InterruptedException {
		this.shutdownHandler.shutdown();
		return this.shutdownHandler.awaitShutdown(timeoutMillis);
	}

	@Override
	public void close() {
		this.server.stop();
	}

}
