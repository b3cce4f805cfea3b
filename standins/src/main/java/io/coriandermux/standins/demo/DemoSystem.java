package io.coriandermux.standins.demo;

import java.net.URI;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.coriandermux.http.HttpCallException;
import io.coriandermux.http.HttpReply;
import io.coriandermux.http.HttpRequest;
import io.coriandermux.http.PooledHttpClient;

/**
 * The running processes as the driver sees them.
 */
final class DemoSystem implements AutoCloseable {

	private static final Duration LIMIT = Duration.ofSeconds(2);

	private static final int OK = 200;

	private final PooledHttpClient caller;

	private final Map<String, URI> processes;

	private final ObjectMapper json = new ObjectMapper();

	/**
	 * Creates the view.
	 * @param processes address by name: {@code entry-1} for the callers' port,
	 * {@code entry-1-ops} and {@code guard-1-ops} for operators' ports, {@code runner-1}
	 * for endpoints
	 * @throws HttpCallException if the HTTP client cannot start
	 */
	DemoSystem(Map<String, URI> processes) throws HttpCallException {
		this.caller = new PooledHttpClient();
		this.processes = processes;
	}

	URI address(String name) {
		return this.processes.get(name);
	}

	HttpReply call(HttpRequest request, Duration limit) throws HttpCallException {
		return this.caller.call(request, limit);
	}

	JsonNode parse(HttpReply reply) {
		try {
			return this.json.readTree(reply.body());
		}
		catch (JsonProcessingException ex) {
			return this.json.createObjectNode().put("reason", "status " + reply.status() + " without JSON");
		}
	}

	/**
	 * Reads a resource of a process.
	 * @param process the name
	 * @param path the path
	 * @return the JSON value, or empty if the process does not answer with one
	 */
	Optional<JsonNode> read(String process, String path) {
		try {
			HttpReply reply = call(new HttpRequest("GET", address(process).resolve(path), ""), LIMIT);
			return (reply.status() == OK) ? Optional.of(parse(reply)) : Optional.empty();
		}
		catch (HttpCallException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Reads the starts that the endpoints counted.
	 * @return the starts by {@code owner/job/task}, over all endpoints
	 */
	Map<String, Integer> starts() {
		Map<String, Integer> all = new LinkedHashMap<>();
		this.processes.keySet()
			.stream()
			.filter((name) -> name.startsWith("runner-"))
			.forEach((name) -> starts(name).forEach((task, count) -> all.merge(task, count, Integer::sum)));
		return all;
	}

	/**
	 * Reads the starts that one endpoint counted.
	 * @param endpoint its name
	 * @return the starts by {@code owner/job/task}
	 */
	Map<String, Integer> starts(String endpoint) {
		Map<String, Integer> starts = new LinkedHashMap<>();
		read(endpoint, "/starts")
			.ifPresent((node) -> node.path("starts").forEachEntry((task, count) -> starts.put(task, count.asInt())));
		return starts;
	}

	@Override
	public void close() {
		this.caller.close();
	}

}
