package io.coriandermux.cli;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.xnio.IoUtils;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against resubmitting a job under a new id after a lost answer, which would run
 * it twice, and against exit codes that hide an outcome.
 */
class JobCommandsTests {

	private static final String JOB = "{\"deadlineMs\":1000,\"tasks\":[{\"path\":\"/a\",\"payload\":{}}]}";

	private final List<String> requests = new CopyOnWriteArrayList<>();

	private final List<String> responses = new CopyOnWriteArrayList<>();

	private final Undertow server = startServer();

	private final String url = "http://127.0.0.1:"
			+ ((InetSocketAddress) this.server.getListenerInfo().get(0).getAddress()).getPort();

	@AfterTry
	void close() {
		this.server.stop();
	}

	@Example
	void lostAnswerAndUndecidedResponseAreRetriedWithTheSameId() {
		this.responses.addAll(List.of("lose", "{\"outcome\":\"undecided\"}", "{\"outcome\":\"complete\"}"));
		CliRun run = CliRun.of("job submit --entry " + this.url + " --file", CliRun.tempFile(JOB));
		assertThat(run.code).isZero();
		assertThat(this.requests).hasSize(3);
		assertThat(this.requests.stream().distinct()).singleElement()
			.asString()
			.contains("POST /v1/jobs", "Bearer secret-key", "\"id\":\"01890a5d-");
	}

	@Example
	void everyOutcomeHasItsExitCode() {
		this.responses.addAll(List.of("{\"outcome\":\"failed\"}", "{\"outcome\":\"not_run\"}",
				"{\"outcome\":\"outcome_unknown\"}", "{\"outcome\":\"running\"}"));
		assertThat(getExitCode()).isEqualTo(ExitCode.JOB_FAILED.number());
		assertThat(getExitCode()).isEqualTo(ExitCode.JOB_NOT_RUN.number());
		assertThat(getExitCode()).isEqualTo(ExitCode.JOB_OUTCOME_UNKNOWN.number());
		assertThat(getExitCode()).isEqualTo(ExitCode.JOB_RUNNING.number());
	}

	@Example
	void submissionWithoutAnyAnswerIsReportedAsEffectUnknown() {
		this.responses.addAll(List.of("lose", "lose", "lose", "lose"));
		CliRun run = CliRun.of("job submit --json --id mine --created-at 5 --entry " + this.url + " --file",
				CliRun.tempFile(JOB));
		assertThat(run.code).isEqualTo(ExitCode.EFFECT_UNKNOWN.number());
		assertThat(run.json().path("id").asText()).isEqualTo("mine");
	}

	@Example
	void operatorCommandsPrintTheResponsesOfTheProcesses() {
		this.responses
			.addAll(List.of("{\"role\":\"entry\",\"peers\":[{\"id\":\"e2\",\"alive\":true}]}", "{\"role\":\"entry\"}"));
		CliRun run = CliRun.of("status --ops " + this.url);
		assertThat(run.out).contains("role: entry", "id  alive", "e2  true");
		assertThat(CliRun.of("top --count 1 --ops " + this.url).out).contains("process", "entry");
		assertThat(this.requests).allSatisfy((request) -> assertThat(request).startsWith("GET /status"));
		assertThat(CliRun.of("status --ops http://127.0.0.1:1").code).isEqualTo(ExitCode.UNAVAILABLE.number());
	}

	@Example
	void invalidRequestIsNotRetried() {
		this.responses.addAll(List.of("401 {\"outcome\":\"undecided\"}", "404 {\"outcome\":\"undecided\"}",
				"400 {\"outcome\":\"undecided\"}"));
		assertThat(getExitCode()).isEqualTo(ExitCode.REFUSED.number());
		assertThat(getExitCode()).isEqualTo(ExitCode.NOT_FOUND.number());
		assertThat(getExitCode()).isEqualTo(ExitCode.REFUSED.number());
		assertThat(this.requests).hasSize(3);
	}

	@Example
	void ownIdWithoutCreationTimeIsNotSubmitted() {
		CliRun run = CliRun.of("job submit --id mine --entry " + this.url + " --file", CliRun.tempFile(JOB));
		assertThat(run.code).isEqualTo(ExitCode.INVALID.number());
		assertThat(this.requests).isEmpty();
	}

	private int getExitCode() {
		return CliRun.of("job get j1 --entry " + this.url).code;
	}

	private Undertow startServer() {
		Undertow undertow = Undertow.builder()
			.addHttpListener(0, "127.0.0.1")
			.setIoThreads(1)
			.setWorkerThreads(1)
			.setHandler(
					(exchange) -> exchange.getRequestReceiver().receiveFullString(this::handle, StandardCharsets.UTF_8))
			.build();
		undertow.start();
		return undertow;
	}

	private void handle(HttpServerExchange exchange, String body) {
		this.requests.add(exchange.getRequestMethod() + " " + exchange.getRequestPath() + " "
				+ exchange.getRequestHeaders().getFirst("Authorization") + " " + body);
		String response = this.responses.remove(0);
		if (response.equals("lose")) {
			IoUtils.safeClose(exchange.getConnection());
			return;
		}
		if (!response.startsWith("{")) {
			exchange.setStatusCode(Integer.parseInt(response.substring(0, 3)));
		}
		exchange.getResponseSender().send(response.substring(response.indexOf('{')));
	}

}
