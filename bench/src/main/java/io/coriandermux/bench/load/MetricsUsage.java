package io.coriandermux.bench.load;

import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.coriandermux.http.HttpCallException;
import io.coriandermux.http.HttpRequest;
import io.coriandermux.http.PooledHttpClient;

/**
 * Reads processor time and memory from the proc file system, and the bytes on links from
 * the operators' port.
 */
public final class MetricsUsage implements UsageProbe {

	private static final Duration LIMIT = Duration.ofSeconds(5);

	private static final List<String> LINK_BYTES = List.of("links.bytes.sent", "links.bytes.received");

	private final ProcessSampler sampler;

	private final PooledHttpClient caller;

	private final ObjectMapper json = new ObjectMapper();

	/**
	 * Creates a probe.
	 * @param sampler reads processor time and memory
	 * @param caller the HTTP client
	 */
	public MetricsUsage(ProcessSampler sampler, PooledHttpClient caller) {
		this.sampler = sampler;
		this.caller = caller;
	}

	@Override
	public LinkUsage sample(WatchedProcess process) throws ProcessGoneException, LoadException {
		JsonNode gauges = metrics(process).path("gauges");
		long bytes = LINK_BYTES.stream().mapToLong((name) -> gauges.path(name).path("value").asLong()).sum();
		return new LinkUsage(this.sampler.sample(process.pid()), bytes);
	}

	private JsonNode metrics(WatchedProcess process) throws LoadException {
		try {
			HttpRequest request = new HttpRequest("GET", process.operators().resolve("/metrics"), "");
			return this.json.readTree(this.caller.call(request, LIMIT).body());
		}
		catch (HttpCallException | JsonProcessingException ex) {
			throw new LoadException("metrics of " + process.name() + ": " + ex.getMessage(), ex);
		}
	}

}
