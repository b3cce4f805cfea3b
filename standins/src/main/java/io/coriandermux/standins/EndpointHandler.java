package io.coriandermux.standins;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.ExchangeCompletionListener;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;

/**
 * Serves the requests of the endpoint stand-in. A running task occupies a slot but no
 * thread: a timer of the I/O thread sends its answer.
 */
final class EndpointHandler implements HttpHandler {

	private final Object lock = new Object();

	private final String name;

	private final int slots;

	private final Map<String, Integer> startCounts = new TreeMap<>();

	private double speed;

	private boolean allTasksFail;

	private int running;

	private int peakRunning;

	private int refusedCount;

	EndpointHandler(String name, int slots, double speed) {
		this.name = name;
		this.slots = slots;
		this.speed = speed;
	}

	Map<String, Integer> startCounts() {
		synchronized (this.lock) {
			return new TreeMap<>(this.startCounts);
		}
	}

	void setAllTasksFail(boolean value) {
		synchronized (this.lock) {
			this.allTasksFail = value;
		}
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		exchange.getRequestReceiver().receiveFullString(this::handleBody, StandardCharsets.UTF_8);
	}

	private void handleBody(HttpServerExchange exchange, String body) {
		switch (exchange.getRequestMethod() + " " + exchange.getRequestPath()) {
			case "GET /starts" -> HttpExchanges.send(exchange, HttpExchanges.OK, countsAsJson());
			case "PUT /faults" -> setFaults(exchange, HttpExchanges.parse(body));
			default -> runTask(exchange, HttpExchanges.parse(body));
		}
	}

	private ObjectNode countsAsJson() {
		synchronized (this.lock) {
			ObjectNode node = HttpExchanges.emptyObject()
				.put("endpoint", this.name)
				.put("slots", this.slots)
				.put("peak", this.peakRunning)
				.put("refused", this.refusedCount);
			ObjectNode countsByTask = node.putObject("starts");
			this.startCounts.forEach(countsByTask::put);
			return node;
		}
	}

	private void setFaults(HttpServerExchange exchange, JsonNode node) {
		synchronized (this.lock) {
			this.allTasksFail = node.path("failing").asBoolean(this.allTasksFail);
			this.speed = node.path("speed").asDouble(this.speed);
		}
		HttpExchanges.send(exchange, HttpExchanges.OK, HttpExchanges.emptyObject());
	}

	private void runTask(HttpServerExchange exchange, JsonNode payload) {
		String owner = header(exchange, "X-Owner");
		String job = header(exchange, "X-Job");
		String task = header(exchange, "X-Task");
		if (!payload.isObject() || owner.isEmpty() || job.isEmpty() || task.isEmpty()) {
			HttpExchanges.sendError(exchange, HttpExchanges.BAD_REQUEST,
					"the payload or a header X-Owner, X-Job, X-Task is missing");
			return;
		}
		boolean hasNoFreeSlot;
		boolean fails;
		long millis;
		synchronized (this.lock) {
			hasNoFreeSlot = this.running >= this.slots;
			if (hasNoFreeSlot) {
				this.refusedCount++;
			}
			else {
				this.running++;
				this.peakRunning = Math.max(this.peakRunning, this.running);
				this.startCounts.merge(owner + "/" + job + "/" + task, 1, Integer::sum);
			}
			fails = this.allTasksFail || payload.path("fail").asBoolean();
			millis = Math.round(Math.max(0, payload.path("sleepMs").asLong()) / this.speed);
		}
		if (hasNoFreeSlot) {
			HttpExchanges.sendError(exchange, HttpExchanges.UNAVAILABLE, "all slots are taken");
			return;
		}
		exchange.addExchangeCompleteListener(this::onExchangeCompleted);
		ObjectNode answer = HttpExchanges.emptyObject()
			.put("endpoint", this.name)
			.put("owner", owner)
			.put("job", job)
			.put("task", task)
			.put("ranMs", millis);
		HttpExchanges.dispatch(exchange,
				() -> exchange.getIoThread()
					.executeAfter(() -> HttpExchanges.send(exchange,
							fails ? HttpExchanges.INTERNAL_ERROR : HttpExchanges.OK, answer), millis,
							TimeUnit.MILLISECONDS));
	}

	private void onExchangeCompleted(HttpServerExchange exchange, ExchangeCompletionListener.NextListener next) {
		synchronized (this.lock) {
			this.running--;
		}
		next.proceed();
	}

	private static String header(HttpServerExchange exchange, String name) {
		String value = exchange.getRequestHeaders().getFirst(name);
		return (value != null) ? value : "";
	}

}
