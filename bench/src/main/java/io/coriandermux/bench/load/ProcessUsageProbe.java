package io.coriandermux.bench.load;

import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.coriandermux.http.HttpCallException;
import io.coriandermux.http.HttpRequest;
import io.coriandermux.http.UndertowHttpClient;

/**
 * Reads processor time and memory from the proc file system, and the bytes on links from
 * the metrics at the operators' port.
 */
public final class ProcessUsageProbe implements UsageProbe {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private static final List<String> LINK_BYTE_GAUGES = List.of("links.bytes.sent", "links.bytes.received");

	private final ProcessSampler sampler;

	private final UndertowHttpClient httpClient;

	private final ObjectMapper json = new ObjectMapper();

	/**
	 * Creates a probe.
	 * @param sampler reads processor time and memory
	 * @param httpClient the HTTP client
	 */
	public ProcessUsageProbe(ProcessSampler sampler, UndertowHttpClient httpClient) {
		this.sampler = sampler;
		this.httpClient = httpClient;
	}

	@Override
	public UsageSample sample(WatchedProcess process) throws ProcessEndedException, LoadException {
		JsonNode gauges = readMetrics(process).path("gauges");
		long bytes = LINK_BYTE_GAUGES.stream().mapToLong((name) -> gauges.path(name).path("value").asLong()).sum();
		return new UsageSample(this.sampler.sample(process.pid()), bytes);
	}

	private JsonNode readMetrics(WatchedProcess process) throws LoadException {
		try {
			HttpRequest request = new HttpRequest("GET", process.operatorsUri().resolve("/metrics"), "");
			return this.json.readTree(this.httpClient.call(request, TIMEOUT).body());
		}
		catch (HttpCallException | JsonProcessingException ex) {
			throw new LoadException("metrics of " + process.name() + ": " + ex.getMessage(), ex);
		}
	}

}
