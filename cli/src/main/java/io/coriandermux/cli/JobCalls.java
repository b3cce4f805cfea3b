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
import io.coriandermux.http.PooledHttpClient;

/**
 * Calls of the callers' interface. A call about a job may be repeated at another entry,
 * because the job id makes it idempotent.
 */
final class JobCalls {

	private static final int ATTEMPTS = 4;

	private static final long MAX_PAUSE_MILLIS = 2_000;

	private static final int BAD_REQUEST = 400;

	private static final int NOT_FOUND = 404;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVER_ERROR = 500;

	private final EntryOptions options;

	private final OutputOptions output;

	private final ObjectMapper json = new ObjectMapper();

	JobCalls(EntryOptions options, OutputOptions output) {
		this.options = options;
		this.output = output;
	}

	/**
	 * Calls the entries in turn until one decides the request, and prints its reply.
	 * @param method the HTTP method
	 * @param target path and query
	 * @param body the body
	 * @param job the job id, for the report of a lost answer
	 * @return the exit code
	 * @throws CliException if no entry answers or the key is refused
	 * @throws IOException if the key cannot be read
	 * @throws InterruptedException if the command is stopped
	 */
	int perform(String method, String target, String body, String job)
			throws CliException, IOException, InterruptedException {
		String key = this.options.key(this.output.context());
		boolean sent = false;
		String last = "";
		Optional<JsonNode> undecided = Optional.empty();
		try (PooledHttpClient caller = new PooledHttpClient()) {
			for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
				URI entry = this.options.urls().get(attempt % this.options.urls().size());
				try {
					HttpRequest request = new HttpRequest(method, entry.resolve(target), body)
						.withHeader("Authorization", "Bearer " + key);
					HttpReply reply = caller.call(request, this.options.limit());
					JsonNode node = parse(reply);
					ExitCode code = code(node, reply);
					if (code != ExitCode.JOB_UNDECIDED) {
						this.output.print(node);
						return code.number();
					}
					undecided = Optional.of(node);
					pause(node.path("retryAfterMs").asLong());
				}
				catch (HttpCallException ex) {
					sent = sent || ex.isPossiblySent();
					last = ex.getMessage();
					pause(0);
				}
			}
		}
		if (undecided.isPresent()) {
			this.output.print(undecided.get());
			return ExitCode.JOB_UNDECIDED.number();
		}
		throw lost(sent, last, job);
	}

	private void pause(long millis) throws InterruptedException {
		this.output.context().pause().await(Math.min(MAX_PAUSE_MILLIS, Math.max(100, millis)));
	}

	private JsonNode parse(HttpReply reply) throws CliException {
		try {
			JsonNode node = this.json.readTree(reply.body());
			if (node.isObject()) {
				return node;
			}
		}
		catch (JsonProcessingException ex) {
			throw new CliException(ExitCode.REFUSED,
					"the entry's answer with status " + reply.status() + " is not JSON: " + ex.getOriginalMessage());
		}
		throw new CliException(ExitCode.REFUSED, "the entry answers with status " + reply.status() + " and no object");
	}

	/**
	 * Derives the exit code from a reply.
	 * @param node the reply
	 * @param reply the reply as received
	 * @return the exit code
	 */
	static ExitCode code(JsonNode node, HttpReply reply) {
		return switch (node.path("outcome").asText()) {
			case "complete" -> ExitCode.OK;
			case "failed" -> ExitCode.JOB_FAILED;
			case "not_run" -> ExitCode.JOB_NOT_RUN;
			case "outcome_unknown" -> ExitCode.JOB_OUTCOME_UNKNOWN;
			case "running" -> ExitCode.JOB_RUNNING;
			default -> undecided(reply.status());
		};
	}

	// A repetition of a request that is itself at fault gives the same reply.
	private static ExitCode undecided(int status) {
		if (status == NOT_FOUND) {
			return ExitCode.NOT_FOUND;
		}
		boolean atFault = status >= BAD_REQUEST && status < SERVER_ERROR && status != TOO_MANY_REQUESTS;
		return atFault ? ExitCode.REFUSED : ExitCode.JOB_UNDECIDED;
	}

	private static CliException lost(boolean sent, String last, String job) {
		ObjectNode detail = JsonNodeFactory.instance.objectNode().put("id", job);
		if (sent) {
			return new CliException(ExitCode.EFFECT_UNKNOWN, "no entry answered about the job " + job
					+ "; it may have run: ask again with job get (" + last + ")", detail);
		}
		return new CliException(ExitCode.UNAVAILABLE, "no entry can be reached (" + last + ")", detail);
	}

}
