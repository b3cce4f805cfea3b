package io.coriandermux.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientConnection;
import io.undertow.connector.ByteBufferPool;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * A kept connection that carries one request at a time.
 */
public final class HttpConnection implements AutoCloseable {

	private final ClientConnection connection;

	private final ByteBufferPool buffers;

	HttpConnection(ClientConnection connection, ByteBufferPool buffers) {
		this.connection = connection;
		this.buffers = buffers;
	}

	/**
	 * Sends a request without a time limit.
	 * @param request the request
	 * @return the answer; ends with an exception if the connection breaks
	 */
	public CompletableFuture<HttpReply> send(HttpRequest request) {
		CompletableFuture<HttpReply> reply = new CompletableFuture<>();
		HttpExchange exchange = new HttpExchange(request, this.buffers, reply);
		this.connection.getIoThread().execute(() -> exchange.send(this.connection));
		return reply;
	}

	/**
	 * Sends a request. The next one may be sent when this one is answered. The time limit
	 * is kept by the thread that waits for the answer; a timer thread beside it would be
	 * woken by most calls.
	 * @param request the request
	 * @param limitMillis time limit of the call in milliseconds
	 * @return the answer; ends with an exception if the connection breaks or the time has
	 * passed
	 */
	public CompletableFuture<HttpReply> send(HttpRequest request, long limitMillis) {
		CompletableFuture<HttpReply> reply = new CompletableFuture<>();
		HttpExchange exchange = new HttpExchange(request, this.buffers, reply);
		XnioIoThread thread = this.connection.getIoThread();
		thread.execute(() -> {
			XnioExecutor.Key limit = thread.executeAfter(
					() -> reply.completeExceptionally(new HttpCallException(
							request.target() + ": no answer within " + limitMillis + " ms", true, null)),
					limitMillis, TimeUnit.MILLISECONDS);
			reply.whenComplete((result, ex) -> limit.remove());
			exchange.send(this.connection);
		});
		return reply;
	}

	/**
	 * Returns whether the connection can carry a further request.
	 * @return whether it is open
	 */
	public boolean isOpen() {
		return this.connection.isOpen();
	}

	@Override
	public void close() {
		IoUtils.safeClose(this.connection);
	}

}
