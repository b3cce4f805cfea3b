package io.coriandermux.http;

import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Pool of persistent connections to one server. A call uses an idle connection, or opens
 * one if none is idle. A connection on which a call fails or times out is closed, since
 * the server may no longer respond on it.
 */
public final class HttpConnectionPool {

	/** Longest idle time; servers close connections that are idle for some seconds. */
	private static final long MAX_IDLE_NANOS = 3_000_000_000L;

	private final UndertowHttpClient client;

	private final URI server;

	private final LongSupplier clockNanos;

	private final Deque<IdleConnection> idleConnections = new ArrayDeque<>();

	/**
	 * Creates a pool without connections.
	 * @param client opens the connections
	 * @param server the address of the server
	 * @param clockNanos a monotonic clock in nanoseconds
	 */
	public HttpConnectionPool(UndertowHttpClient client, URI server, LongSupplier clockNanos) {
		this.client = client;
		this.server = server;
		this.clockNanos = clockNanos;
	}

	/**
	 * Sends a request. Exactly one of the two callbacks is called once, on any thread.
	 * @param request the request
	 * @param timeoutMillis timeout in milliseconds, which applies to opening a connection
	 * and to the request separately
	 * @param onResponse receives the response, whatever its status
	 * @param onFailure receives whether the server may have received the request
	 */
	public void call(HttpRequest request, long timeoutMillis, Consumer<HttpReply> onResponse,
			Consumer<Boolean> onFailure) {
		HttpConnection idle = acquire();
		if (idle != null) {
			send(idle, request, timeoutMillis, onResponse, onFailure);
			return;
		}
		CompletableFuture<HttpConnection> opened = this.client.connect(this.server);
		opened.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS).whenComplete((connection, ex) -> {
			if (ex != null) {
				onFailure.accept(false);
				return;
			}
			send(connection, request, timeoutMillis, onResponse, onFailure);
		});
	}

	private void send(HttpConnection connection, HttpRequest request, long timeoutMillis,
			Consumer<HttpReply> onResponse, Consumer<Boolean> onFailure) {
		connection.send(request, timeoutMillis).whenComplete((response, ex) -> {
			if (ex != null) {
				connection.close();
				onFailure.accept(true);
				return;
			}
			release(connection);
			onResponse.accept(response);
		});
	}

	private synchronized HttpConnection acquire() {
		long now = this.clockNanos.getAsLong();
		while (!this.idleConnections.isEmpty()) {
			IdleConnection last = this.idleConnections.removeLast();
			if (last.connection().isOpen() && now - last.sinceNanos() < MAX_IDLE_NANOS) {
				return last.connection();
			}
			last.connection().close();
		}
		return null;
	}

	private synchronized void release(HttpConnection connection) {
		if (connection.isOpen()) {
			this.idleConnections.addLast(new IdleConnection(connection, this.clockNanos.getAsLong()));
		}
	}

	/**
	 * A connection in the pool that no call uses.
	 *
	 * @param connection the connection
	 * @param sinceNanos time at which its last call ended, in nanoseconds of the pool's
	 * clock
	 */
	private record IdleConnection(HttpConnection connection, long sinceNanos) {

	}

}
