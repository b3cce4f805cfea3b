package io.coriandermux.http;

import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Kept connections to one server. A call takes one that no other call uses, or opens one.
 * A connection on which a call was not answered in time is closed, since it may have gone
 * silent.
 */
public final class HttpConnectionPool {

	/** Servers close connections that were unused for some seconds. */
	private static final long UNUSED_NANOS = 3_000_000_000L;

	private final HttpCaller caller;

	private final URI server;

	private final LongSupplier clockNanos;

	private final Deque<Unused> unused = new ArrayDeque<>();

	/**
	 * Creates a pool without connections.
	 * @param caller opens the connections
	 * @param server address of the server
	 * @param clockNanos the monotonic clock in nanoseconds
	 */
	public HttpConnectionPool(HttpCaller caller, URI server, LongSupplier clockNanos) {
		this.caller = caller;
		this.server = server;
		this.clockNanos = clockNanos;
	}

	/**
	 * Sends a request. One of the receivers is called once, on any thread.
	 * @param request the request
	 * @param limitMillis time limit of the whole call in milliseconds
	 * @param answered receives the answer, whatever its status
	 * @param failed receives whether the server may have received the request
	 */
	public void call(HttpRequest request, long limitMillis, Consumer<HttpReply> answered, Consumer<Boolean> failed) {
		HttpConnection kept = take();
		if (kept != null) {
			send(kept, request, limitMillis, answered, failed);
			return;
		}
		CompletableFuture<HttpConnection> opened = this.caller.connect(this.server);
		opened.orTimeout(limitMillis, TimeUnit.MILLISECONDS).whenComplete((connection, ex) -> {
			if (ex != null) {
				failed.accept(false);
				return;
			}
			send(connection, request, limitMillis, answered, failed);
		});
	}

	private void send(HttpConnection connection, HttpRequest request, long limitMillis, Consumer<HttpReply> answered,
			Consumer<Boolean> failed) {
		connection.send(request, limitMillis).whenComplete((reply, ex) -> {
			if (ex != null) {
				connection.close();
				failed.accept(true);
				return;
			}
			give(connection);
			answered.accept(reply);
		});
	}

	private synchronized HttpConnection take() {
		long now = this.clockNanos.getAsLong();
		while (!this.unused.isEmpty()) {
			Unused last = this.unused.removeLast();
			if (last.connection().isOpen() && now - last.sinceNanos() < UNUSED_NANOS) {
				return last.connection();
			}
			last.connection().close();
		}
		return null;
	}

	private synchronized void give(HttpConnection connection) {
		if (connection.isOpen()) {
			this.unused.addLast(new Unused(connection, this.clockNanos.getAsLong()));
		}
	}

	/**
	 * A connection that no call uses.
	 *
	 * @param connection the connection
	 * @param sinceNanos when its last call ended
	 */
	private record Unused(HttpConnection connection, long sinceNanos) {

	}

}
