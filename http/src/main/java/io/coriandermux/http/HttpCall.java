package io.coriandermux.http;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.connector.ByteBufferPool;
import org.xnio.IoUtils;

/**
 * A single HTTP call on its own connection, which is closed when the call ends.
 */
final class HttpCall implements ClientCallback<ClientConnection> {

	private enum State {

		CONNECTING, SENT, ABANDONED

	}

	private final CompletableFuture<HttpReply> response = new CompletableFuture<>();

	private final AtomicReference<State> state = new AtomicReference<>(State.CONNECTING);

	private final HttpExchange exchange;

	HttpCall(HttpRequest request, ByteBufferPool buffers) {
		this.exchange = new HttpExchange(request, buffers, this.response);
	}

	CompletableFuture<HttpReply> response() {
		return this.response;
	}

	/**
	 * Ends the call without waiting for the response. A request that is not sent yet is
	 * never sent.
	 * @return whether the server may have received the request
	 */
	boolean abandon() {
		boolean unsent = this.state.compareAndSet(State.CONNECTING, State.ABANDONED);
		this.response.cancel(false);
		return !unsent && this.state.get() == State.SENT;
	}

	@Override
	public void completed(ClientConnection connection) {
		this.response.whenComplete((result, ex) -> IoUtils.safeClose(connection));
		connection.getIoThread().execute(() -> {
			if (this.state.compareAndSet(State.CONNECTING, State.SENT)) {
				this.exchange.send(connection);
			}
		});
	}

	@Override
	public void failed(IOException ex) {
		this.response.completeExceptionally(ex);
	}

}
