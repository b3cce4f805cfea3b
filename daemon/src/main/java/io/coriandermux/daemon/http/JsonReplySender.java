package io.coriandermux.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.xnio.IoUtils;

/**
 * Sends JSON replies.
 */
final class JsonReplySender {

	private static final long MILLIS_PER_SECOND = 1000;

	private JsonReplySender() {
	}

	static void send(HttpServerExchange exchange, JsonReply reply) {
		if (!exchange.isResponseStarted()) {
			writeHeaders(exchange, reply);
			exchange.getResponseSender().send(ByteBuffer.wrap(reply.body()));
		}
	}

	/**
	 * Sends a reply and closes the connection without waiting for the rest of the
	 * request.
	 * @param exchange the HTTP exchange
	 * @param reply the reply
	 */
	static void sendAndClose(HttpServerExchange exchange, JsonReply reply) {
		if (exchange.isResponseStarted()) {
			return;
		}
		exchange.setPersistent(false);
		writeHeaders(exchange, reply);
		exchange.getResponseSender().send(ByteBuffer.wrap(reply.body()), new IoCallback() {

			@Override
			public void onComplete(HttpServerExchange completed, Sender sender) {
				IoUtils.safeClose(completed.getConnection());
			}

			@Override
			public void onException(HttpServerExchange completed, Sender sender, IOException ex) {
				IoUtils.safeClose(completed.getConnection());
			}

		});
	}

	private static void writeHeaders(HttpServerExchange exchange, JsonReply reply) {
		exchange.setStatusCode(reply.status());
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, reply.body().length);
		if (reply.retryAfterMillis() > 0) {
			long seconds = (reply.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
			exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
		}
	}

}
