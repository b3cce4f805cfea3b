package io.coriandermux.daemon.http;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.version.ProgramVersion;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;

/**
 * Handles the HTTP requests of operators.
 */
public final class OperatorsHandler implements HttpHandler {

	private static final int OWNER_SEGMENT = 2;

	private static final int JOB_SEGMENT = 3;

	private final OperatorService service;

	private final ObjectMapper json = new ObjectMapper()
		.registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

	private final ReplyWriter writer = new ReplyWriter();

	/**
	 * Creates the handler.
	 * @param service answers the requests
	 */
	public OperatorsHandler(OperatorService service) {
		this.service = service;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		String[] segments = exchange.getRequestPath().split("/", -1);
		String resource = (segments.length > 1) ? segments[1] : "";
		HttpString expected = "drain".equals(resource) ? Methods.POST : Methods.GET;
		if (!exchange.getRequestMethod().equals(expected)) {
			sendError(exchange, StatusCodes.METHOD_NOT_ALLOWED, expected + " is expected");
		}
		else if (segments.length == 2) {
			handleResource(exchange, resource);
		}
		else if ("failures".equals(resource) && segments.length == OWNER_SEGMENT + 1
				&& !segments[OWNER_SEGMENT].isBlank()) {
			query(exchange, () -> this.service.failures(new OwnerId(segments[OWNER_SEGMENT]),
					(failures) -> executeOnIoThread(exchange, () -> send(exchange, failures))));
		}
		else if ("explain".equals(resource) && segments.length == JOB_SEGMENT + 1
				&& !segments[OWNER_SEGMENT].isBlank()) {
			query(exchange, () -> this.service.explain(new OwnerId(segments[OWNER_SEGMENT]), segments[JOB_SEGMENT],
					(explanation) -> executeOnIoThread(exchange, () -> sendExplanation(exchange, explanation))));
		}
		else {
			sendError(exchange, StatusCodes.NOT_FOUND, "no such resource");
		}
	}

	private void handleResource(HttpServerExchange exchange, String resource) {
		switch (resource) {
			case "status" -> query(exchange, () -> this.service
				.status((status) -> executeOnIoThread(exchange, () -> sendStatus(exchange, status))));
			case "metrics" -> send(exchange, this.service.metrics());
			case "events" -> send(exchange, this.service.events());
			case "drain" -> {
				this.service.drain();
				exchange.setStatusCode(StatusCodes.ACCEPTED);
				send(exchange, new String[0]);
			}
			default -> sendError(exchange, StatusCodes.NOT_FOUND, "no such resource");
		}
	}

	private void query(HttpServerExchange exchange, Supplier<Boolean> request) {
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
			if (!request.get()) {
				sendError(exchange, StatusCodes.SERVICE_UNAVAILABLE, "the decision thread is busy or has ended");
			}
		});
	}

	private void sendStatus(HttpServerExchange exchange, Object status) {
		JsonNode state = this.json.valueToTree(status);
		if (state instanceof ObjectNode fields) {
			fields.put("program", ProgramVersion.current().toString());
		}
		send(exchange, state);
	}

	private void sendExplanation(HttpServerExchange exchange, Optional<Object> explanation) {
		if (explanation.isEmpty()) {
			sendError(exchange, StatusCodes.NOT_FOUND, "the job is not known here");
			return;
		}
		send(exchange, explanation.get());
	}

	private static void executeOnIoThread(HttpServerExchange exchange, Runnable action) {
		exchange.getIoThread().execute(action);
	}

	private void send(HttpServerExchange exchange, Object value) {
		try {
			JsonReplySender.send(exchange,
					new JsonReply(exchange.getStatusCode(), this.json.writeValueAsBytes(value), 0));
		}
		catch (JsonProcessingException ex) {
			sendError(exchange, StatusCodes.INTERNAL_SERVER_ERROR,
					"the state cannot be written: " + ex.getOriginalMessage());
		}
	}

	private void sendError(HttpServerExchange exchange, int status, String reason) {
		JsonReplySender.send(exchange, this.writer.error(status, "undecided", "bad_request", reason, 0));
	}

}
