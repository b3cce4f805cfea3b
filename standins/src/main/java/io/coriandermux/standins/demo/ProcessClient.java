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
import io.coriandermux.http.UndertowHttpClient;

/**
 * HTTP client of the running processes.
 */
final class ProcessClient implements AutoCloseable {

	private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);

	private static final int OK = 200;

	private final UndertowHttpClient httpClient;

	private final Map<String, URI> processes;

	private final ObjectMapper json = new ObjectMapper();

	/**
	 * Creates a client.
	 * @param processes the address by name: {@code entry-1} for the callers' port,
	 * {@code entry-1-ops} and {@code guard-1-ops} for the operators' ports,
	 * {@code runner-1} for endpoints
	 * @throws HttpCallException if the HTTP client cannot be started
	 */
	ProcessClient(Map<String, URI> processes) throws HttpCallException {
		this.httpClient = new UndertowHttpClient();
		this.processes = processes;
	}

	URI addressOf(String name) {
		return this.processes.get(name);
	}

	HttpReply call(HttpRequest request, Duration timeout) throws HttpCallException {
		return this.httpClient.call(request, timeout);
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
	 * Requests a resource of a process.
	 * @param process the name of the process
	 * @param path the path of the resource
	 * @return the JSON value, or empty if the process is unreachable or answers with
	 * another status than 200
	 */
	Optional<JsonNode> read(String process, String path) {
		try {
			HttpReply reply = call(new HttpRequest("GET", addressOf(process).resolve(path), ""), READ_TIMEOUT);
			return (reply.status() == OK) ? Optional.of(parse(reply)) : Optional.empty();
		}
		catch (HttpCallException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Returns how often each task was started, summed over all endpoints.
	 * @return the number of starts by {@code owner/job/task}
	 */
	Map<String, Integer> startCounts() {
		Map<String, Integer> total = new LinkedHashMap<>();
		this.processes.keySet()
			.stream()
			.filter((name) -> name.startsWith("runner-"))
			.forEach((name) -> startCounts(name).forEach((task, count) -> total.merge(task, count, Integer::sum)));
		return total;
	}

	/**
	 * Returns how often each task was started at one endpoint.
	 * @param endpoint the name of the endpoint
	 * @return the number of starts by {@code owner/job/task}
	 */
	Map<String, Integer> startCounts(String endpoint) {
		Map<String, Integer> counts = new LinkedHashMap<>();
		read(endpoint, "/starts")
			.ifPresent((node) -> node.path("starts").forEachEntry((task, count) -> counts.put(task, count.asInt())));
		return counts;
	}

	@Override
	public void close() {
		this.httpClient.close();
	}

}
