package io.coriandermux.standins;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.coriandermux.http.HttpCallException;
import io.coriandermux.http.HttpReply;
import io.coriandermux.http.HttpRequest;
import io.coriandermux.http.UndertowHttpClient;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an endpoint stand-in that does not count a double start, or that starts
 * more tasks than it has slots.
 */
class EndpointStandInTests {

	@Example
	void everyStartIsCountedAndTheAnswerNamesOwnerJobAndTask() throws HttpCallException {
		try (EndpointStandIn endpoint = EndpointStandIn.start(0, "r1", 2, 1);
				UndertowHttpClient httpClient = new UndertowHttpClient()) {
			HttpReply reply = sendTask(httpClient, endpoint, 0, "{\"sleepMs\":1}");
			assertThat(reply.status()).isEqualTo(200);
			assertThat(reply.body()).contains("\"owner\":\"guild\"", "\"job\":\"j\"", "\"task\":\"0\"");
			assertThat(sendTask(httpClient, endpoint, 0, "{\"fail\":true}").status()).isEqualTo(500);
			assertThat(sendTask(httpClient, endpoint, 1, "no JSON").status()).isEqualTo(400);
			assertThat(endpoint.startCounts()).containsOnly(Map.entry("guild/j/0", 2));
		}
	}

	@Example
	void taskIsRefusedAndNotStartedWhenAllSlotsAreInUse() throws HttpCallException {
		try (EndpointStandIn endpoint = EndpointStandIn.start(0, "r1", 1, 1);
				UndertowHttpClient httpClient = new UndertowHttpClient()) {
			CompletableFuture<HttpReply> first = CompletableFuture.supplyAsync(() -> {
				try {
					return sendTask(httpClient, endpoint, 0, "{\"sleepMs\":20000}");
				}
				catch (HttpCallException ex) {
					return new HttpReply(0, "");
				}
			});
			while (endpoint.startCounts().isEmpty()) {
				Thread.onSpinWait();
			}
			assertThat(sendTask(httpClient, endpoint, 1, "{}").status()).isEqualTo(503);
			assertThat(endpoint.startCounts()).containsOnlyKeys("guild/j/0");
			first.cancel(true);
		}
	}

	private static HttpReply sendTask(UndertowHttpClient httpClient, EndpointStandIn endpoint, int index,
			String payload) throws HttpCallException {
		return httpClient
			.call(new HttpRequest("POST", endpoint.url().resolve("/work"), payload).withHeader("X-Owner", "guild")
				.withHeader("X-Job", "j")
				.withHeader("X-Task", Integer.toString(index)), Duration.ofSeconds(20));
	}

}
