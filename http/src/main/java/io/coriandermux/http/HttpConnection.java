package io.coriandermux.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientConnection;
import io.undertow.connector.ByteBufferPool;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * A persistent connection that carries one request at a time.
 */
public final class HttpConnection implements AutoCloseable {

	private final ClientConnection connection;

	private final ByteBufferPool buffers;

	HttpConnection(ClientConnection connection, ByteBufferPool buffers) {
		this.connection = connection;
		this.buffers = buffers;
	}

	/**
	 * Sends a request without a timeout.
	 * @param request the request
	 * @return the response; completes with an exception if the connection fails
	 */
	public CompletableFuture<HttpReply> send(HttpRequest request) {
		CompletableFuture<HttpReply> response = new CompletableFuture<>();
		HttpExchange exchange = new HttpExchange(request, this.buffers, response);
		this.connection.getIoThread().execute(() -> exchange.send(this.connection));
		return response;
	}

	/**
	 * Sends a request. The next request may be sent when the response to this one has
	 * arrived. The timeout runs on the I/O thread of the connection, since most calls
	 * would wake up a separate timer thread.
	 * @param request the request
	 * @param timeoutMillis timeout of the call in milliseconds
	 * @return the response; completes with an exception if the connection fails or the
	 * timeout expires
	 */
	public CompletableFuture<HttpReply> send(HttpRequest request, long timeoutMillis) {
		CompletableFuture<HttpReply> response = new CompletableFuture<>();
		HttpExchange exchange = new HttpExchange(request, this.buffers, response);
		XnioIoThread ioThread = this.connection.getIoThread();
		ioThread.execute(() -> {
			XnioExecutor.Key timeout = ioThread.executeAfter(
					() -> response.completeExceptionally(new HttpCallException(
							request.target() + ": no answer within " + timeoutMillis + " ms", true, null)),
					timeoutMillis, TimeUnit.MILLISECONDS);
			response.whenComplete((result, ex) -> timeout.remove());
			exchange.send(this.connection);
		});
		return response;
	}

	/**
	 * Returns whether the connection can carry another request.
	 * @return whether the connection is open
	 */
	public boolean isOpen() {
		return this.connection.isOpen();
	}

	@Override
	public void close() {
		IoUtils.safeClose(this.connection);
	}

}
