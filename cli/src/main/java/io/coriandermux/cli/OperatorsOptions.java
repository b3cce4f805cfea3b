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
import io.coriandermux.http.PooledHttpClient;
import picocli.CommandLine.Option;

/**
 * Options that name the operators' port of processes, and calls to it.
 */
final class OperatorsOptions {

	private static final int OK = 200;

	private static final int MULTIPLE_CHOICES = 300;

	private static final int NOT_FOUND = 404;

	@Option(names = "--ops", paramLabel = "URL", split = ",", required = true,
			description = "Addresses of the processes' ports for operators, separated by commas.")
	private List<URI> urls = new ArrayList<>();

	@Option(names = "--timeout-ms", paramLabel = "MS", defaultValue = "3000",
			description = "Time limit of a call in milliseconds (default: ${DEFAULT-VALUE}).")
	private long timeoutMillis;

	private final ObjectMapper json = new ObjectMapper();

	List<URI> urls() {
		return this.urls;
	}

	/**
	 * Calls a process.
	 * @param url the address of its port for operators
	 * @param method the HTTP method
	 * @param target path and query
	 * @return the answer
	 * @throws CliException if the process does not answer or refuses the call
	 */
	JsonNode call(URI url, String method, String target) throws CliException {
		try (PooledHttpClient caller = new PooledHttpClient()) {
			HttpReply reply = caller.call(new HttpRequest(method, url.resolve(target), ""),
					Duration.ofMillis(this.timeoutMillis));
			if (reply.status() == NOT_FOUND) {
				throw new CliException(ExitCode.NOT_FOUND, url + " knows nothing of it: " + reply.body());
			}
			if (reply.status() < OK || reply.status() >= MULTIPLE_CHOICES) {
				throw new CliException(ExitCode.REFUSED,
						url + " answers with status " + reply.status() + ": " + reply.body());
			}
			return this.json.readTree(reply.body());
		}
		catch (HttpCallException ex) {
			boolean unknown = ex.isPossiblySent() && !method.equals("GET");
			throw new CliException(unknown ? ExitCode.EFFECT_UNKNOWN : ExitCode.UNAVAILABLE, ex.getMessage());
		}
		catch (JsonProcessingException ex) {
			throw new CliException(ExitCode.REFUSED,
					"the answer of " + url + " is not JSON: " + ex.getOriginalMessage());
		}
	}

}
