package io.coriandermux.standins;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.xnio.IoUtils;

/**
 * Serves the HTTP calls of the store protocol: applies the fault switches, counts the
 * calls, and keeps watches open until their prefix changes.
 */
final class StoreHandler implements HttpHandler {

	/** Expired leases are removed at this interval while a watch is open. */
	private static final long EXPIRY_INTERVAL_MILLIS = 100;

	private static final StoreReply DOWN = StoreReply.error(HttpExchanges.UNAVAILABLE, "the store is down");

	private final Object lock = new Object();

	private final StoreProtocol protocol;

	private final List<Watch> watches = new ArrayList<>();

	private StoreFaults faults = StoreFaults.NONE;

	private StoreCallCounts callCounts = StoreCallCounts.NONE;

	StoreHandler(KvState state) {
		this.protocol = new StoreProtocol(state);
	}

	void setFaults(StoreFaults value) {
		synchronized (this.lock) {
			this.faults = value;
		}
	}

	StoreCallCounts callCounts() {
		synchronized (this.lock) {
			return this.callCounts;
		}
	}

	/**
	 * Removes expired leases and answers the watches of the keys bound to them.
	 */
	void removeExpired() {
		List<Runnable> answers;
		synchronized (this.lock) {
			this.protocol.state().removeExpired();
			answers = takeChangedWatches();
		}
		answers.forEach(Runnable::run);
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		exchange.getRequestReceiver().receiveFullString(this::handleBody, StandardCharsets.UTF_8);
	}

	private void handleBody(HttpServerExchange exchange, String body) {
		switch (exchange.getRequestPath()) {
			case "/v1/faults" -> handleFaults(exchange, body);
			case "/v1/calls" ->
				HttpExchanges.send(exchange, HttpExchanges.OK, HttpExchanges.JSON.valueToTree(callCounts()));
			default -> serveWithFaults(exchange, body);
		}
	}

	private void handleFaults(HttpServerExchange exchange, String body) {
		JsonNode node = HttpExchanges.parse(body);
		if (!node.isObject()) {
			HttpExchanges.sendError(exchange, HttpExchanges.BAD_REQUEST, "the fault switches are not a JSON object");
			return;
		}
		setFaults(new StoreFaults(node.path("down").asBoolean(), node.path("writesDown").asBoolean(),
				node.path("silent").asBoolean(), node.path("delayMs").asLong(), node.path("loseWriteAnswers").asInt()));
		HttpExchanges.send(exchange, HttpExchanges.OK, HttpExchanges.emptyObject());
	}

	private void serveWithFaults(HttpServerExchange exchange, String body) {
		StoreFaults currentFaults;
		synchronized (this.lock) {
			currentFaults = this.faults;
		}
		if (currentFaults.silent()) {
			HttpExchanges.dispatch(exchange, () -> {
			});
		}
		else if (currentFaults.delayMs() > 0) {
			HttpExchanges.dispatch(exchange, () -> exchange.getIoThread()
				.executeAfter(() -> serve(exchange, body), currentFaults.delayMs(), TimeUnit.MILLISECONDS));
		}
		else {
			serve(exchange, body);
		}
	}

	private void serve(HttpServerExchange exchange, String body) {
		String method = exchange.getRequestMethod().toString();
		String path = exchange.getRequestPath();
		if (path.equals("/v1/watch")) {
			serveWatch(exchange);
		}
		else if (path.equals("/v1/kv") && method.equals("GET")) {
			serveCounted(exchange, this.callCounts::plusRead, () -> this.protocol.readPrefix(exchange));
		}
		else if (path.equals("/v1/kv") && method.equals("PUT")) {
			serveWrite(exchange, () -> this.protocol.put(exchange, body));
		}
		else if (path.equals("/v1/kv") && method.equals("DELETE")) {
			serveWrite(exchange, () -> this.protocol.delete(exchange));
		}
		else if (path.equals(StoreProtocol.LEASES_PATH) && method.equals("POST")) {
			serveCounted(exchange, this.callCounts::plusLease, () -> this.protocol.grantLease(exchange));
		}
		else if (path.startsWith(StoreProtocol.LEASES_PATH + "/") && method.equals("PUT")) {
			String id = path.substring(StoreProtocol.LEASES_PATH.length() + 1);
			serveCounted(exchange, this.callCounts::plusLease, () -> this.protocol.renewLease(id));
		}
		else {
			HttpExchanges.sendError(exchange, HttpExchanges.NOT_FOUND, "no such call: " + method + " " + path);
		}
	}

	private void serveCounted(HttpServerExchange exchange, Supplier<StoreCallCounts> increment,
			Supplier<StoreReply> action) {
		StoreReply reply;
		synchronized (this.lock) {
			this.callCounts = increment.get();
			reply = performUnlessDown(action);
		}
		HttpExchanges.send(exchange, reply.status(), reply.body());
	}

	private void serveWrite(HttpServerExchange exchange, Supplier<StoreReply> action) {
		StoreReply reply;
		boolean answerIsLost = false;
		List<Runnable> answers;
		synchronized (this.lock) {
			this.callCounts = this.callCounts.plusWrite();
			boolean down = this.faults.down() || this.faults.writesDown();
			reply = down ? DOWN : performUnlessDown(action);
			if (!down && this.faults.loseWriteAnswers() > 0) {
				answerIsLost = true;
				this.faults = StoreFaults.lostAnswers(this.faults.loseWriteAnswers() - 1);
			}
			answers = takeChangedWatches();
		}
		answers.forEach(Runnable::run);
		if (answerIsLost) {
			IoUtils.safeClose(exchange.getConnection());
			return;
		}
		HttpExchanges.send(exchange, reply.status(), reply.body());
	}

	private StoreReply performUnlessDown(Supplier<StoreReply> action) {
		if (this.faults.down()) {
			return DOWN;
		}
		this.protocol.state().removeExpired();
		return action.get();
	}

	private void serveWatch(HttpServerExchange exchange) {
		Optional<String> prefix = HttpExchanges.queryParameter(exchange, "prefix");
		Optional<Long> after = HttpExchanges.numericQueryParameter(exchange, "after");
		Optional<Long> wait = HttpExchanges.numericQueryParameter(exchange, "waitMs");
		if (prefix.isEmpty() || after.isEmpty() || wait.isEmpty()) {
			HttpExchanges.sendError(exchange, HttpExchanges.BAD_REQUEST, "prefix, after or waitMs is missing");
			return;
		}
		Watch watch = new Watch(exchange, prefix.get(), after.get());
		StoreReply reply;
		synchronized (this.lock) {
			this.callCounts = this.callCounts.plusWatch();
			reply = performUnlessDown(() -> this.protocol.snapshot(prefix.get()));
			if (reply.status() == HttpExchanges.OK && wait.get() > 0
					&& this.protocol.state().lastRevision(watch.prefix()) <= watch.after()) {
				this.watches.add(watch);
				reply = null;
			}
		}
		if (reply != null) {
			HttpExchanges.send(exchange, reply.status(), reply.body());
			return;
		}
		HttpExchanges.dispatch(exchange, () -> {
			exchange.getIoThread().executeAfter(() -> onWatchTimeout(watch), wait.get(), TimeUnit.MILLISECONDS);
			exchange.getIoThread()
				.executeAfter(() -> expireWhileWatching(watch), EXPIRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		});
	}

	private void expireWhileWatching(Watch watch) {
		removeExpired();
		synchronized (this.lock) {
			if (!this.watches.contains(watch)) {
				return;
			}
		}
		watch.exchange()
			.getIoThread()
			.executeAfter(() -> expireWhileWatching(watch), EXPIRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void onWatchTimeout(Watch watch) {
		StoreReply reply;
		synchronized (this.lock) {
			if (!this.watches.remove(watch)) {
				return;
			}
			reply = performUnlessDown(() -> this.protocol.snapshot(watch.prefix()));
		}
		HttpExchanges.send(watch.exchange(), reply.status(), reply.body());
	}

	/**
	 * Removes the watches whose prefix has changed. The caller must hold the lock.
	 * @return actions that send the answers, to be run after the lock is released
	 */
	private List<Runnable> takeChangedWatches() {
		List<Runnable> answers = new ArrayList<>();
		for (Iterator<Watch> i = this.watches.iterator(); i.hasNext();) {
			Watch watch = i.next();
			if (this.protocol.state().lastRevision(watch.prefix()) > watch.after()) {
				i.remove();
				StoreReply reply = this.protocol.snapshot(watch.prefix());
				answers.add(() -> watch.exchange()
					.getIoThread()
					.execute(() -> HttpExchanges.send(watch.exchange(), reply.status(), reply.body())));
			}
		}
		return answers;
	}

	private record Watch(HttpServerExchange exchange, String prefix, long after) {
	}

}
