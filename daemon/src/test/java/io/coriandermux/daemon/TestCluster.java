package io.coriandermux.daemon;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.coriandermux.core.api.Resources;
import io.coriandermux.core.id.EndpointName;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.RackName;
import io.coriandermux.core.id.ZoneName;
import io.coriandermux.daemon.entry.EntryShell;
import io.coriandermux.daemon.guard.GuardShell;
import io.coriandermux.daemon.settings.EntryProcessSettings;
import io.coriandermux.daemon.settings.GuardProcessSettings;
import io.coriandermux.daemon.settings.ProcessSettings;
import io.coriandermux.standins.EndpointStandIn;
import io.coriandermux.standins.StoreStandIn;
import io.coriandermux.store.StoreClient;
import io.coriandermux.wire.SystemTime;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Entries, guards, a store and endpoints that run in one JVM on loopback ports.
 */
final class TestCluster implements AutoCloseable {

	static final String HOST = "127.0.0.1";

	private static final int SLOTS = 4;

	/** Long, because the tests check outcomes and not times. */
	private static final Duration TIMEOUT = Duration.ofSeconds(90);

	private final StoreStandIn store = StoreStandIn.start(0);

	private final SystemTime time = new SystemTime(Clock.systemUTC());

	private final ObjectMapper json = new ObjectMapper();

	private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final List<EndpointStandIn> endpoints = new ArrayList<>();

	private final List<EntryShell> entries = new ArrayList<>();

	private final List<GuardShell> guards = new ArrayList<>();

	TestCluster(int entryCount, int guardCount) throws Exception {
		configure();
		for (int index = 0; index < guardCount; index++) {
			addGuard();
		}
		for (int index = 0; index < entryCount; index++) {
			addEntry();
		}
	}

	StoreStandIn store() {
		return this.store;
	}

	EntryShell entry(int index) {
		return this.entries.get(index);
	}

	GuardShell guard(int index) {
		return this.guards.get(index);
	}

	EndpointStandIn endpoint(int index) {
		return this.endpoints.get(index);
	}

	void addGuard() throws Exception {
		int index = this.guards.size();
		EndpointStandIn endpoint = EndpointStandIn.start(0, "run-" + index, SLOTS, 1);
		this.endpoints.add(endpoint);
		this.guards
			.add(new GuardShell(new GuardProcessSettings(processSettings("g" + index), new EndpointName("run-" + index),
					endpoint.url(), SLOTS, new Resources(8, 1024, 0), 1 << 23), this.time));
	}

	void addEntry() throws Exception {
		this.entries.add(new EntryShell(new EntryProcessSettings(processSettings("e" + this.entries.size()), 0,
				Map.of(hash("guild-key"), new OwnerId("guild"), hash("other-key"), new OwnerId("other")), 100_000,
				1 << 24, 4 << 20, 2000, 64), this.time));
	}

	HttpResponse<String> call(int port, String method, String target, String body) throws Exception {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + port + target))
			.method(method, HttpRequest.BodyPublishers.ofString(body))
			.header("Authorization", "Bearer guild-key")
			.timeout(TIMEOUT)
			.build();
		return this.http.send(request, HttpResponse.BodyHandlers.ofString());
	}

	/**
	 * Submits jobs until one is complete, because links and tables are not available
	 * immediately after the start.
	 */
	JsonNode submitUntilComplete(int entry, String body) throws Exception {
		long deadline = this.time.now().nanos() + TIMEOUT.toNanos();
		JsonNode reply = submit(entry, body);
		while (!"complete".equals(reply.path("outcome").asText()) && this.time.now().nanos() < deadline) {
			// A watch without changes delays the next attempt by 50 ms.
			this.http.send(HttpRequest
				.newBuilder(URI.create(this.store.url() + "/v1/watch?prefix=/none&after=999999999&waitMs=50"))
				.build(), HttpResponse.BodyHandlers.discarding());
			reply = submit(entry, body);
		}
		return reply;
	}

	/**
	 * Counts the starts of each task of a job at all endpoints.
	 */
	Map<String, Integer> startCounts(String job) {
		Map<String, Integer> starts = new TreeMap<>();
		for (EndpointStandIn endpoint : this.endpoints) {
			endpoint.startCounts().forEach((task, count) -> {
				if (task.startsWith("guild/" + job + "/")) {
					starts.merge(task, count, Integer::sum);
				}
			});
		}
		return starts;
	}

	/**
	 * Waits until a task of a job is running. The entry may not have received the job
	 * yet.
	 */
	void awaitRunning(int entry, String job) throws Exception {
		JsonNode reply = fetchJob(entry, job, 20);
		while (reply.path("running").asInt() == 0) {
			assertThat(reply.path("outcome").asText()).as(reply.toString()).isIn("running", "undecided");
			reply = fetchJob(entry, job, 20);
		}
	}

	JsonNode fetchJob(int entry, String job, int waitMillis) throws Exception {
		return read(call(entry(entry).callersPort(), "GET", "/v1/jobs/" + job + "?waitMs=" + waitMillis, ""));
	}

	String reserveJobId(int entry) throws Exception {
		return read(call(entry(entry).callersPort(), "POST", "/v1/job-ids", "")).path("job").asText();
	}

	JsonNode submit(int entry, String body) throws Exception {
		return this.json.readTree(call(entry(entry).callersPort(), "POST", "/v1/jobs?waitMs=60000", body).body());
	}

	JsonNode read(HttpResponse<String> response) throws Exception {
		return this.json.readTree(response.body());
	}

	static String jobBody(int taskCount, int sleepMillis) {
		StringBuilder tasks = new StringBuilder();
		for (int index = 0; index < taskCount; index++) {
			tasks.append((index > 0) ? "," : "")
				.append("{\"path\":\"/render\",\"payload\":{\"sleepMs\":" + sleepMillis + "}}");
		}
		return "{\"deadlineMs\":60000,\"tasks\":[" + tasks + "]}";
	}

	@Override
	public void close() {
		this.entries.forEach(EntryShell::close);
		this.guards.forEach(GuardShell::close);
		this.endpoints.forEach(EndpointStandIn::close);
		this.store.close();
	}

	private void configure() throws Exception {
		try (StoreClient client = new StoreClient(List.of(this.store.url()), Duration.ofSeconds(10))) {
			String header = "{\"owner\":\"guild\",\"editId\":\"1\",\"editor\":\"op\",\"editedAt\":\"2026-12-04T05:00:00Z\",";
			client.put("/config/pools/guild",
					header + "\"pools\":[{\"name\":\"main\",\"endpoints\":[\"run-*\"],"
							+ "\"owners\":[{\"owner\":\"guild\",\"weight\":1,\"maxInFlight\":100}]}],\"audit\":[]}",
					0, Optional.empty());
			client.put("/config/routes/guild",
					header + "\"routes\":[{\"name\":\"all\",\"path\":\"/\",\"pool\":\"main\","
							+ "\"timeoutMs\":5000}],\"audit\":[]}",
					0, Optional.empty());
		}
	}

	private ProcessSettings processSettings(String id) {
		return new ProcessSettings(id, new ZoneName("thess-a"), new RackName("r1"), HOST, 0, 0,
				List.of(this.store.url()), "a secret of the installation", 4096, 30_000);
	}

	private static String hash(String key) throws Exception {
		return HexFormat.of()
			.formatHex(MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8)));
	}

}
