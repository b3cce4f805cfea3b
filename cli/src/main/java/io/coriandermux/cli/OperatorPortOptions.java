package io.coriandermux.cli;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.coriandermux.http.HttpCallException;
import io.coriandermux.http.HttpReply;
import io.coriandermux.http.HttpRequest;
import io.coriandermux.http.UndertowHttpClient;
import picocli.CommandLine.Option;

/**
 * Options with the addresses of processes' ports for operators, and calls to these ports.
 */
final class OperatorPortOptions {

	private static final int OK = 200;

	private static final int MULTIPLE_CHOICES = 300;

	private static final int NOT_FOUND = 404;

	@Option(names = "--ops", paramLabel = "URL", split = ",", required = true,
			description = "Addresses of the processes' ports for operators, separated by commas.")
	private List<URI> urls = new ArrayList<>();

	@Option(names = "--timeout-ms", paramLabel = "MS", defaultValue = "3000",
			description = "Time limit of a call in milliseconds (default: ${DEFAULT-VALUE}).")
	private long timeoutMillis;

	private final ObjectMapper mapper = new ObjectMapper();

	List<URI> urls() {
		return this.urls;
	}

	/**
	 * Sends a request to a process.
	 * @param url the address of the process's port for operators
	 * @param method the HTTP method
	 * @param target the path and query
	 * @return the response body
	 * @throws CliException if the process does not answer or refuses the request
	 */
	JsonNode call(URI url, String method, String target) throws CliException {
		try (UndertowHttpClient client = new UndertowHttpClient()) {
			HttpReply response = client.call(new HttpRequest(method, url.resolve(target), ""),
					Duration.ofMillis(this.timeoutMillis));
			if (response.status() == NOT_FOUND) {
				throw new CliException(ExitCode.NOT_FOUND,
						url + " does not know the requested object: " + response.body());
			}
			if (response.status() < OK || response.status() >= MULTIPLE_CHOICES) {
				throw new CliException(ExitCode.REFUSED,
						url + " answered with status " + response.status() + ": " + response.body());
			}
			return this.mapper.readTree(response.body());
		}
		catch (HttpCallException ex) {
			boolean effectUnknown = ex.isPossiblySent() && !method.equals("GET");
			throw new CliException(effectUnknown ? ExitCode.EFFECT_UNKNOWN : ExitCode.UNAVAILABLE, ex.getMessage());
		}
		catch (JsonProcessingException ex) {
			throw new CliException(ExitCode.REFUSED,
					"the answer of " + url + " is not JSON: " + ex.getOriginalMessage());
		}
	}

}
