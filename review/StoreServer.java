package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Stand-in of the platform's key-value store. It keeps its whole history and rejects no
 * call.
 */
final class StoreServer implements AutoCloseable {

	private static final ObjectMapper JSON = new ObjectMapper();

	private final Map<String, Item> items = new TreeMap<>();

	private final List<Item> history = new ArrayList<>();

	private final Map<Long, Lease> leases = new LinkedHashMap<>();

	private final HttpServer server;

	private final ExecutorService threads = Executors.newCachedThreadPool(StoreServer::daemon);

	/** Peer ports as the announcements name them, and the port of the path to each. */
	private final Map<String, String> paths = new LinkedHashMap<>();

	private long revision = 100;

	private long lastLease;

	StoreServer() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
		this.server.setExecutor(this.threads);
		this.server.createContext("/", this::handle);
		this.server.start();
		this.threads.execute(this::expireLeases);
	}

	private static Thread daemon(Runnable work) {
		Thread thread = new Thread(work, "store");
		thread.setDaemon(true);
		return thread;
	}

	int port() {
		return this.server.getAddress().getPort();
	}

	/** Writes a value as the operator does; the return is the acknowledgement. */
	synchronized void put(String key, String value) {
		this.revision++;
		write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
		notifyAll();
	}

	/**
	 * Lets the announcements of a process lead to a path before it, as a translation of
	 * addresses in the network would.
	 */
	synchronized void translate(int port, int path) {
		this.paths.put("\"port\":" + port + ",", "\"port\":" + path + ",");
	}

	private String translate(String value) {
		String text = new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8);
		for (Map.Entry<String, String> path : this.paths.entrySet()) {
			text = text.replace(path.getKey(), path.getValue());
		}
		return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
	}

	private void write(String key, String value, long lease) {
		Item previous = this.items.get(key);
		Item item = new Item(key, value, this.revision, (previous != null) ? previous.createdAt : this.revision, lease);
		this.items.put(key, item);
		this.history.add(item);
	}

	private void remove(String key) {
		if (this.items.remove(key) != null) {
			this.history.add(new Item(key, null, this.revision, 0, 0));
		}
	}

	private void expireLeases() {
		while (true) {
			synchronized (this) {
				long now = System.nanoTime();
				for (Map.Entry<Long, Lease> entry : List.copyOf(this.leases.entrySet())) {
					if (entry.getValue().endNanos - now <= 0) {
						endLease(entry.getKey());
					}
				}
			}
			try {
				Thread.sleep(20);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private void endLease(long lease) {
		this.leases.remove(lease);
		this.revision++;
		List.copyOf(this.items.values())
			.stream()
			.filter((item) -> item.lease == lease)
			.forEach((item) -> remove(item.key));
		notifyAll();
	}

	private void handle(HttpExchange exchange) throws IOException {
		try (exchange) {
			byte[] body;
			try (InputStream in = exchange.getRequestBody()) {
				body = in.readAllBytes();
			}
			Reply reply = answer(exchange.getRequestMethod(), exchange.getRequestURI().getPath(),
					query(exchange.getRequestURI().getRawQuery()), body);
			byte[] bytes = reply.body.toString().getBytes(StandardCharsets.UTF_8);
			exchange.getResponseHeaders().set("Content-Type", "application/json");
			exchange.sendResponseHeaders(reply.status, bytes.length);
			exchange.getResponseBody().write(bytes);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static Map<String, String> query(String text) {
		Map<String, String> fields = new LinkedHashMap<>();
		if (text != null) {
			for (String part : text.split("&")) {
				int sign = part.indexOf('=');
				fields.put(part.substring(0, sign), URLDecoder.decode(part.substring(sign + 1), StandardCharsets.UTF_8));
			}
		}
		return fields;
	}

	private synchronized Reply answer(String method, String path, Map<String, String> query, byte[] body)
			throws IOException, InterruptedException {
		ObjectNode reply = JSON.createObjectNode();
		if (path.equals("/v1/kv-key")) {
			Item item = this.items.get(query.get("key"));
			return (item == null) ? new Reply(404, reply)
					: new Reply(200, item.describe().put("atRevision", this.revision));
		}
		if (path.equals("/v1/kv-range")) {
			ArrayNode list = reply.putArray("items");
			String after = query.getOrDefault("after", "");
			this.items.values()
				.stream()
				.filter((item) -> item.key.startsWith(query.get("prefix")) && item.key.compareTo(after) > 0)
				.forEach((item) -> list.add(item.describe()));
			return new Reply(200, reply.put("hasMore", false).put("atRevision", this.revision));
		}
		if (path.equals("/v1/kv-watch")) {
			return watch(query.get("prefix"), Long.parseLong(query.get("after")), Long.parseLong(query.get("waitMs")));
		}
		if (path.equals("/v1/kv-txn")) {
			return transact(JSON.readTree(body));
		}
		if (path.equals("/v1/kv-lease")) {
			long ttl = JSON.readTree(body).path("ttlMs").asLong();
			this.lastLease++;
			this.leases.put(this.lastLease, new Lease(ttl, System.nanoTime() + ttl * 1_000_000));
			return new Reply(200, reply.put("leaseId", this.lastLease).put("ttlMs", ttl));
		}
		if (path.startsWith("/v1/kv-keep/")) {
			long id = Long.parseLong(path.substring("/v1/kv-keep/".length()));
			Lease lease = this.leases.get(id);
			if (lease == null) {
				return new Reply(404, reply);
			}
			this.leases.put(id, new Lease(lease.ttl, System.nanoTime() + lease.ttl * 1_000_000));
			return new Reply(200, reply.put("ttlMs", lease.ttl));
		}
		if (method.equals("DELETE") && path.startsWith("/v1/kv-lease-end/")) {
			endLease(Long.parseLong(path.substring("/v1/kv-lease-end/".length())));
			return new Reply(200, reply);
		}
		return new Reply(404, reply);
	}

	private Reply watch(String prefix, long after, long waitMillis) throws InterruptedException {
		long endNanos = System.nanoTime() + waitMillis * 1_000_000;
		while (true) {
			ObjectNode reply = JSON.createObjectNode();
			ArrayNode events = reply.putArray("events");
			this.history.stream()
				.filter((item) -> item.revision > after && item.key.startsWith(prefix))
				.forEach((item) -> events.add(item.describe()));
			long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
			if (!events.isEmpty() || leftMillis <= 0) {
				return new Reply(200, reply.put("atRevision", this.revision));
			}
			wait(leftMillis);
		}
	}

	private Reply transact(JsonNode request) {
		ObjectNode reply = JSON.createObjectNode();
		for (JsonNode expected : request.path("expectedRevision")) {
			Item item = this.items.get(expected.path("key").asText());
			if (((item != null) ? item.revision : 0) != expected.path("revision").asLong()) {
				ArrayNode current = reply.putArray("items");
				if (item != null) {
					current.add(item.describe());
				}
				return new Reply(412, reply);
			}
		}
		for (JsonNode put : request.path("puts")) {
			String key = put.path("key").asText();
			if (key.startsWith("op/") || key.startsWith("servers/")) {
				return new Reply(403, reply);
			}
			long lease = put.path("leaseId").asLong();
			if (lease != 0 && !this.leases.containsKey(lease)) {
				return new Reply(404, reply);
			}
		}
		this.revision++;
		request.path("puts")
			.forEach((put) -> write(put.path("key").asText(), translate(put.path("value").asText()), put.path("leaseId").asLong()));
		request.path("deletes").forEach((key) -> remove(key.asText()));
		notifyAll();
		return new Reply(200, reply.put("revision", this.revision));
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.threads.shutdownNow();
	}

	private record Item(String key, String value, long revision, long createdAt, long lease) {

		ObjectNode describe() {
			ObjectNode node = JSON.createObjectNode().put("key", this.key).put("revision", this.revision);
			if (this.value == null) {
				return node.put("compacted", true);
			}
			return node.put("value", this.value).put("createdAt", this.createdAt).put("leaseId", this.lease);
		}

	}

	private record Lease(long ttl, long endNanos) {
	}

	private record Reply(int status, ObjectNode body) {
	}

}
