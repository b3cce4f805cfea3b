package io.coriandermux.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StringReadChannelListener;
import io.undertow.util.StringWriteChannelListener;

/**
 * A request and its response on an open connection.
 */
final class HttpExchange {

	private final HttpRequest request;

	private final ByteBufferPool buffers;

	private final CompletableFuture<HttpReply> response;

	HttpExchange(HttpRequest request, ByteBufferPool buffers, CompletableFuture<HttpReply> response) {
		this.request = request;
		this.buffers = buffers;
		this.response = response;
	}

	/**
	 * Sends the request. Must run on the I/O thread of the connection.
	 * @param connection the connection
	 */
	void send(ClientConnection connection) {
		int length = this.request.body().getBytes(StandardCharsets.UTF_8).length;
		ClientRequest clientRequest = new ClientRequest().setMethod(new HttpString(this.request.method()))
			.setPath(this.request.target());
		clientRequest.getRequestHeaders().put(Headers.HOST, this.request.uri().getAuthority());
		if (length > 0) {
			clientRequest.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
		}
		clientRequest.getRequestHeaders().put(Headers.CONTENT_LENGTH, length);
		this.request.headers()
			.forEach((name, value) -> clientRequest.getRequestHeaders().put(new HttpString(name), value));
		connection.sendRequest(clientRequest, callback(this::writeBody));
	}

	private void writeBody(ClientExchange exchange) {
		exchange.setResponseListener(callback(this::readResponse));
		new StringWriteChannelListener(this.request.body(), StandardCharsets.UTF_8).setup(exchange.getRequestChannel());
	}

	private void readResponse(ClientExchange exchange) {
		int status = exchange.getResponse().getResponseCode();
		new StringReadChannelListener(this.buffers) {

			@Override
			protected void stringDone(String text) {
				HttpExchange.this.response.complete(new HttpReply(status, text));
			}

			@Override
			protected void error(IOException ex) {
				HttpExchange.this.response.completeExceptionally(ex);
			}

		}.setup(exchange.getResponseChannel());
	}

	private ClientCallback<ClientExchange> callback(Consumer<ClientExchange> next) {
		return new ClientCallback<>() {

			@Override
			public void completed(ClientExchange exchange) {
				next.accept(exchange);
			}

			@Override
			public void failed(IOException ex) {
				HttpExchange.this.response.completeExceptionally(ex);
			}

		};
	}

}
