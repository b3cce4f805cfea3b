package io.coriandermux.standins;

import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;

/**
 * Utilities to read parameters and bodies of HTTP requests and to send JSON replies.
 */
final class HttpExchanges {

	static final int OK = 200;

	static final int BAD_REQUEST = 400;

	static final int NOT_FOUND = 404;

	static final int CONFLICT = 409;

	static final int TOO_LARGE = 413;

	static final int INTERNAL_ERROR = 500;

	static final int UNAVAILABLE = 503;

	static final ObjectMapper JSON = new ObjectMapper();

	private HttpExchanges() {
	}

	static ObjectNode emptyObject() {
		return JSON.createObjectNode();
	}

	static void send(HttpServerExchange exchange, int status, JsonNode body) {
		exchange.setStatusCode(status);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(body.toString(), StandardCharsets.UTF_8);
	}

	static void sendError(HttpServerExchange exchange, int status, String message) {
		send(exchange, status, emptyObject().put("error", message));
	}

	/**
	 * Parses a body as JSON.
	 * @param body the body
	 * @return the JSON value, or a missing node if the body is not valid JSON
	 */
	static JsonNode parse(String body) {
		try {
			return JSON.readTree(body);
		}
		catch (JsonProcessingException ex) {
			return MissingNode.getInstance();
		}
	}

	static Optional<String> queryParameter(HttpServerExchange exchange, String name) {
		return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(Deque::peekFirst);
	}

	/**
	 * Returns the value of a numeric query parameter.
	 * @param exchange the exchange
	 * @param name the name of the parameter
	 * @return the value, or empty if it is absent or not a non-negative integer of at
	 * most 18 digits
	 */
	static Optional<Long> numericQueryParameter(HttpServerExchange exchange, String name) {
		return queryParameter(exchange, name).filter((value) -> value.matches("[0-9]{1,18}")).map(Long::valueOf);
	}

	/**
	 * Dispatches an exchange that is answered asynchronously, so that the calling thread
	 * is released.
	 * @param exchange the exchange
	 * @param action schedules the answer
	 */
	static void dispatch(HttpServerExchange exchange, Runnable action) {
		exchange.dispatch(SameThreadExecutor.INSTANCE, action);
	}

}
