package io.coriandermux.http;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * HTTP client that makes blocking calls with a timeout and opens persistent connections.
 * Each blocking call opens its own connection, so an unresponsive connection affects only
 * one call.
 */
public final class UndertowHttpClient implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1024;

	/**
	 * Disables Nagle's algorithm. The header and the body of a request are written
	 * separately, and Nagle's algorithm would hold back the body until the header is
	 * acknowledged, which the server may delay by 40 ms.
	 */
	private static final OptionMap TCP_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

	private final XnioWorker worker;

	private final ByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES);

	/**
	 * Creates a client with one I/O thread.
	 * @throws HttpCallException if the I/O thread cannot be started
	 */
	public UndertowHttpClient() throws HttpCallException {
		try {
			OptionMap options = OptionMap.builder()
				.set(Options.WORKER_NAME, "http-caller")
				.set(Options.WORKER_IO_THREADS, 1)
				.set(Options.WORKER_TASK_CORE_THREADS, 1)
				.set(Options.WORKER_TASK_MAX_THREADS, 1)
				.set(Options.THREAD_DAEMON, true)
				.getMap();
			this.worker = Xnio.getInstance().createWorker(options);
		}
		catch (IOException ex) {
			throw new HttpCallException("the HTTP client cannot start", false, ex);
		}
	}

	/**
	 * Sends a request and waits for the response.
	 * @param request the request
	 * @param timeout time limit for the whole call, connecting included
	 * @return the response, whatever its status
	 * @throws HttpCallException if no response arrives within the timeout, the connection
	 * fails or the thread is interrupted
	 */
	public HttpReply call(HttpRequest request, Duration timeout) throws HttpCallException {
		HttpCall call = new HttpCall(request, this.buffers);
		UndertowClient.getInstance().connect(call, request.uri(), this.worker, this.buffers, TCP_OPTIONS);
		String target = request.method() + " " + request.uri();
		try {
			return call.response().get(timeout.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			boolean sent = call.abandon();
			throw new HttpCallException(target + ": no answer within " + timeout.toMillis() + " ms", sent, null);
		}
		catch (ExecutionException ex) {
			throw new HttpCallException(target + ": " + ex.getCause().getMessage(), call.abandon(), ex.getCause());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new HttpCallException(target + ": interrupted", call.abandon(), ex);
		}
	}

	/**
	 * Opens a persistent connection.
	 * @param server the address of the server
	 * @return the connection; completes with an exception if the server is unreachable
	 */
	public CompletableFuture<HttpConnection> connect(URI server) {
		CompletableFuture<HttpConnection> opened = new CompletableFuture<>();
		UndertowClient.getInstance().connect(new ClientCallback<>() {

			@Override
			public void completed(ClientConnection connection) {
				if (!opened.complete(new HttpConnection(connection, UndertowHttpClient.this.buffers))) {
					IoUtils.safeClose(connection);
				}
			}

			@Override
			public void failed(IOException ex) {
				opened.completeExceptionally(ex);
			}

		}, server, this.worker, this.buffers, TCP_OPTIONS);
		return opened;
	}

	@Override
	public void close() {
		this.worker.shutdownNow();
	}

}
