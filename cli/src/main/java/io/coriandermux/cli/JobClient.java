package io.coriandermux.cli;

import java.io.IOException;
import java.net.URI;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coriandermux.http.HttpCallException;
import io.coriandermux.http.HttpReply;
import io.coriandermux.http.HttpRequest;
import io.coriandermux.http.UndertowHttpClient;

/**
 * Sends requests for a job to the entries. The job id makes a request idempotent, so it
 * may be retried at another entry.
 */
final class JobClient {

	private static final int MAX_ATTEMPTS = 4;

	private static final long MAX_RETRY_DELAY_MILLIS = 2_000;

	private static final int BAD_REQUEST = 400;

	private static final int NOT_FOUND = 404;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVER_ERROR = 500;

	private final EntryOptions options;

	private final OutputOptions output;

	private final ObjectMapper mapper = new ObjectMapper();

	JobClient(EntryOptions options, OutputOptions output) {
		this.options = options;
		this.output = output;
	}

	/**
	 * Sends the request to the entries in turn until one gives a decision, and prints the
	 * response.
	 * @param method the HTTP method
	 * @param target the path and query
	 * @param body the request body
	 * @param job the job id for the error report if no entry answers
	 * @return the exit code
	 * @throws CliException if there is no key, no entry answers or an answer is malformed
	 * @throws IOException if the key cannot be read
	 * @throws InterruptedException if the thread is interrupted
	 */
	int call(String method, String target, String body, String job)
			throws CliException, IOException, InterruptedException {
		String key = this.options.key(this.output.context());
		boolean possiblySent = false;
		String lastError = "";
		Optional<JsonNode> undecided = Optional.empty();
		try (UndertowHttpClient client = new UndertowHttpClient()) {
			for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
				URI entry = this.options.urls().get(attempt % this.options.urls().size());
				try {
					HttpRequest request = new HttpRequest(method, entry.resolve(target), body)
						.withHeader("Authorization", "Bearer " + key);
					HttpReply response = client.call(request, this.options.callTimeout());
					JsonNode node = parse(response);
					ExitCode code = exitCode(node, response);
					if (code != ExitCode.JOB_UNDECIDED) {
						this.output.print(node);
						return code.number();
					}
					undecided = Optional.of(node);
					sleepBeforeRetry(node.path("retryAfterMs").asLong());
				}
				catch (HttpCallException ex) {
					possiblySent = possiblySent || ex.isPossiblySent();
					lastError = ex.getMessage();
					sleepBeforeRetry(0);
				}
			}
		}
		if (undecided.isPresent()) {
			this.output.print(undecided.get());
			return ExitCode.JOB_UNDECIDED.number();
		}
		throw noAnswer(possiblySent, lastError, job);
	}

	private void sleepBeforeRetry(long millis) throws InterruptedException {
		this.output.context().sleeper().sleep(Math.min(MAX_RETRY_DELAY_MILLIS, Math.max(100, millis)));
	}

	private JsonNode parse(HttpReply response) throws CliException {
		try {
			JsonNode node = this.mapper.readTree(response.body());
			if (node.isObject()) {
				return node;
			}
		}
		catch (JsonProcessingException ex) {
			throw new CliException(ExitCode.REFUSED,
					"the entry's answer with status " + response.status() + " is not JSON: " + ex.getOriginalMessage());
		}
		throw new CliException(ExitCode.REFUSED,
				"the entry answered with status " + response.status() + " and without a JSON object");
	}

	/**
	 * Derives the exit code from a response.
	 * @param node the parsed body
	 * @param response the response
	 * @return the exit code
	 */
	static ExitCode exitCode(JsonNode node, HttpReply response) {
		return switch (node.path("outcome").asText()) {
			case "complete" -> ExitCode.OK;
			case "failed" -> ExitCode.JOB_FAILED;
			case "not_run" -> ExitCode.JOB_NOT_RUN;
			case "outcome_unknown" -> ExitCode.JOB_OUTCOME_UNKNOWN;
			case "running" -> ExitCode.JOB_RUNNING;
			default -> exitCodeOfUndecided(response.status());
		};
	}

	// Retrying an invalid request would give the same response, so it is refused.
	private static ExitCode exitCodeOfUndecided(int status) {
		if (status == NOT_FOUND) {
			return ExitCode.NOT_FOUND;
		}
		boolean invalid = status >= BAD_REQUEST && status < SERVER_ERROR && status != TOO_MANY_REQUESTS;
		return invalid ? ExitCode.REFUSED : ExitCode.JOB_UNDECIDED;
	}

	private static CliException noAnswer(boolean possiblySent, String lastError, String job) {
		ObjectNode details = JsonNodeFactory.instance.objectNode().put("id", job);
		if (possiblySent) {
			return new CliException(ExitCode.EFFECT_UNKNOWN, "no entry answered for the job " + job
					+ "; it may have run: check it with job get (" + lastError + ")", details);
		}
		return new CliException(ExitCode.UNAVAILABLE, "no entry can be reached (" + lastError + ")", details);
	}

}
