package io.coriandermux.daemon.guard;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.message.Start;
import io.coriandermux.wire.TimeSource;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import io.undertow.util.StringWriteChannelListener;
import org.xnio.IoUtils;

/**
 * A request to the endpoint. It is sent at most once and is not retried after a failure,
 * because the endpoint may have started the task. Used by the endpoint thread only.
 */
final class EndpointCall implements ClientCallback<ClientConnection> {

	/** Maximum size of the answer of a task in bytes. */
	static final int MAX_ANSWER_BYTES = 16 * 1024;

	private static final int MAX_REASON_BYTES = 512;

	private static final HttpString X_OWNER = new HttpString("X-Owner");

	private static final HttpString X_JOB = new HttpString("X-Job");

	private static final HttpString X_TASK = new HttpString("X-Task");

	private final Start start;

	private final String host;

	private final String path;

	private final TimeSource time;

	private final Consumer<EndpointResult> onResult;

	private ClientConnection connection;

	private long sentNanos;

	private boolean ended;

	private boolean keepAlive;

	EndpointCall(Start start, String host, String path, TimeSource time, Consumer<EndpointResult> onResult) {
		this.start = start;
		this.host = host;
		this.path = path;
		this.time = time;
		this.onResult = onResult;
		this.sentNanos = time.now().nanos();
	}

	/**
	 * Returns the connection if another request can use it.
	 * @return the connection, or {@code null}
	 */
	ClientConnection reusableConnection() {
		return (this.keepAlive && this.connection.isOpen()) ? this.connection : null;
	}

	void abort() {
		fail("aborted");
	}

	@Override
	public void completed(ClientConnection newConnection) {
		this.connection = newConnection;
		if (this.ended) {
			IoUtils.safeClose(newConnection);
			return;
		}
		TaskKey task = this.start.task();
		ClientRequest request = new ClientRequest().setMethod(Methods.POST).setPath(this.path);
		request.getRequestHeaders()
			.put(Headers.HOST, this.host)
			.put(Headers.CONTENT_LENGTH, this.start.payload().length)
			.put(X_OWNER, task.job().owner().value())
			.put(X_JOB, task.job().job())
			.put(X_TASK, task.index());
		this.sentNanos = this.time.now().nanos();
		newConnection.sendRequest(request, callback(this::onExchangeStarted));
	}

	@Override
	public void failed(IOException ex) {
		fail("the endpoint cannot be reached: " + ex.getMessage());
	}

	private void onExchangeStarted(ClientExchange exchange) {
		exchange.setResponseListener(callback(this::onResponse));
		// ISO-8859-1 maps each byte to one character, so the payload is sent unchanged.
		String payload = new String(this.start.payload(), StandardCharsets.ISO_8859_1);
		new StringWriteChannelListener(payload, StandardCharsets.ISO_8859_1).setup(exchange.getRequestChannel());
	}

	private void onResponse(ClientExchange exchange) {
		int status = exchange.getResponse().getResponseCode();
		boolean close = "close"
			.equalsIgnoreCase(exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION));
		BodyReader reader = new BodyReader(MAX_ANSWER_BYTES, (body) -> {
			this.keepAlive = !close;
			onResponseBody(status, body);
		}, this::fail);
		reader.handleEvent(exchange.getResponseChannel());
	}

	private void onResponseBody(int status, byte[] body) {
		if (status >= StatusCodes.OK && status < StatusCodes.MULTIPLE_CHOICES) {
			complete(true, body);
			return;
		}
		byte[] excerpt = Arrays.copyOf(body, Math.min(body.length, MAX_REASON_BYTES));
		complete(false,
				("the endpoint answered with status " + status + ": " + new String(excerpt, StandardCharsets.UTF_8))
					.getBytes(StandardCharsets.UTF_8));
	}

	private void fail(String reason) {
		if (this.connection != null) {
			IoUtils.safeClose(this.connection);
		}
		complete(false, reason.getBytes(StandardCharsets.UTF_8));
	}

	private void complete(boolean success, byte[] body) {
		if (!this.ended) {
			this.ended = true;
			this.onResult.accept(new EndpointResult(success, body, this.time.now().nanos() - this.sentNanos));
		}
	}

	private ClientCallback<ClientExchange> callback(Consumer<ClientExchange> onSuccess) {
		return new ClientCallback<>() {

			@Override
			public void completed(ClientExchange exchange) {
				onSuccess.accept(exchange);
			}

			@Override
			public void failed(IOException ex) {
				fail("the endpoint broke the connection: " + ex.getMessage());
			}

		};
	}

}
