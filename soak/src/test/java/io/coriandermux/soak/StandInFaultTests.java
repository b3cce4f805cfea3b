package io.coriandermux.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.sun.net.httpserver.HttpServer;
import io.coriandermux.platform.standin.JobsClient;
import io.coriandermux.platform.standin.RunObserver;
import io.coriandermux.platform.standin.RunnerStandIn;
import io.coriandermux.platform.standin.StoreStandIn;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against faults of the stand-ins that have no effect, so that a soak would pass
 * without having played them.
 */
class StandInFaultTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long LEASE_MILLIS = 2_000;

	private static final int DELAY_MILLIS = 3_000;

	private final BlockingQueue<String> orders = new LinkedBlockingQueue<>();

	private int lastStatus;

	@Example
	void aResetBreaksTheRequestOfACaller() throws Exception {
		JobsClient caller = new JobsClient();
		try (ServerSocket entry = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			CompletableFuture<Throwable> failure = new CompletableFuture<>();
			Thread thread = new Thread(() -> {
				try {
					caller.submit(entry.getLocalPort(), "/queue/", "1", 1, 50, 5_000);
				}
				catch (IOException ex) {
					failure.complete(ex);
				}
			});
			thread.start();
			try (Socket accepted = entry.accept()) {
				assertThat(accepted.getInputStream().read()).isPositive();
				caller.reset();
				assertThat(failure.get(5, TimeUnit.SECONDS)).hasMessage("Socket closed");
				assertThatExceptionOfType(IOException.class).isThrownBy(() -> accepted.getInputStream().readAllBytes())
					.withMessage("Connection reset");
			}
			thread.join();
		}
	}

	@Example
	void aLateOrderIsNotAnsweredAndRefusedIfItsLeaseHasExpired() throws Exception {
		assertThat(resultOfLateStart(false)).contains("-> 409 late").contains("ms late");
	}

	@Example
	void aLateOrderIsCarriedOutIfItsLeaseCountsFromItsArrival() throws Exception {
		assertThat(resultOfLateStart(true)).contains("-> 200").contains("ms late");
	}

	@Example
	void aRevokedAnnouncementIsRemovedAtOnce() throws Exception {
		try (StoreStandIn store = new StoreStandIn((value) -> value)) {
			send(store, "/v1/kv-lease", "{\"ttlMs\":60000}");
			send(store, "/v1/kv-txn", "{\"puts\":[{\"key\":\"members/a\",\"value\":\"\",\"leaseId\":1}]}");
			send(store, "/v1/kv-txn", "{\"puts\":[{\"key\":\"members/b\",\"value\":\"\",\"leaseId\":0}]}");
			store.revoke((key) -> key.startsWith("members/"));
			assertThat(send(store, "/v1/kv-range?prefix=members&after=", "")).contains("members/b")
				.doesNotContain("members/a");
		}
	}

	@Example
	void noOrderProlongsALeaseThatHasExpiredWhileTheEndpointStoodStill() throws Exception {
		assertThat(endAfterStandstill(5_000)).isEqualTo("lapsed");
	}

	@Example
	void aRunThatWasDueBeforeTheEndOfItsLeaseIsDoneAfterAStandstill() throws Exception {
		assertThat(endAfterStandstill(300)).isEqualTo("done");
	}

	// An order that prolongs the lease waits while the endpoint stands still.
	private String endAfterStandstill(long runMillis) throws Exception {
		int port = freePort();
		OrderObserver observer = new OrderObserver();
		try (RunnerStandIn endpoint = new RunnerStandIn("endpoint", Cluster.SERVICE, 1_000, port,
				URI.create("http://127.0.0.1:" + freePort()), observer, 3)) {
			send(port, "/v1/hold", body(runMillis, 0));
			send(port, "/v1/run-start", body(runMillis, 1_000));
			CompletableFuture<Void> prolonged;
			synchronized (endpoint) {
				prolonged = CompletableFuture.runAsync(() -> send(port, "/v1/hold", body(runMillis, 4_000)));
				Thread.sleep(1_500);
			}
			prolonged.get(5, TimeUnit.SECONDS);
			return observer.ends.poll(1, TimeUnit.SECONDS);
		}
	}

	private static String body(long runMillis, long leaseMillis) {
		return "{\"task\":\"job.0.0.0\",\"runId\":1,\"fencingToken\":1,\"lastSeen\":0,\"waitMs\":0,\"spec\":\""
				+ runMillis + "\",\"deadlineMs\":" + (System.nanoTime() / NANOS_PER_MILLI + leaseMillis) + "}";
	}

	private static void send(int port, String path, String body) {
		HttpClient.newHttpClient()
			.sendAsync(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
				.POST(HttpRequest.BodyPublishers.ofString(body))
				.build(), HttpResponse.BodyHandlers.discarding())
			.join();
	}

	private String resultOfLateStart(boolean shiftsLeases) throws Exception {
		int port = freePort();
		try (RunnerStandIn endpoint = new RunnerStandIn("endpoint", Cluster.SERVICE, 1_000, port,
				URI.create("http://127.0.0.1:" + freePort()), new OrderObserver(), 1)) {
			endpoint.setLateOrders(new RunnerStandIn.LateOrders(100, false, shiftsLeases, DELAY_MILLIS, 1));
			String body = "{\"task\":\"job.0.0.0\",\"runId\":1,\"spec\":\"50\",\"fencingToken\":1,\"deadlineMs\":"
					+ (System.nanoTime() / NANOS_PER_MILLI + LEASE_MILLIS) + "}";
			HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/v1/run-start"))
				.POST(HttpRequest.BodyPublishers.ofString(body))
				.build();
			CompletableFuture<HttpResponse<Void>> reply = HttpClient.newHttpClient()
				.sendAsync(request, HttpResponse.BodyHandlers.discarding());
			String result = this.orders.poll(DELAY_MILLIS * 4L, TimeUnit.MILLISECONDS);
			assertThat(reply).isNotDone();
			return result;
		}
	}

	@Example
	void theEndOfALeaseRemovesTheKeysThatWereWrittenUnderIt() throws Exception {
		try (StoreStandIn store = new StoreStandIn((value) -> value)) {
			String lease = send(store, "/v1/kv-lease", "{\"ttlMs\":60000}").replaceAll(".*\"leaseId\":(\\d+).*", "$1");
			send(store, "/v1/kv-txn", "{\"puts\":[{\"key\":\"members/guard-1\",\"value\":\"\",\"leaseId\":" + lease
					+ "},{\"key\":\"members/guard-11\",\"value\":\"\"}]}");
			store.revoke((key) -> key.endsWith("/guard-1"));
			assertThat(send(store, "/v1/kv-range?prefix=members&after=", "")).contains("\"members/guard-11\"")
				.doesNotContain("\"members/guard-1\"");
			assertThat(send(store, "/v1/kv-keep/" + lease, "")).isEqualTo("{}");
			assertThat(this.lastStatus).isEqualTo(404);
		}
	}

	@Example
	void aForeignHeartbeatNamesAnotherIncarnation() throws Exception {
		BlockingQueue<String> heartbeats = new LinkedBlockingQueue<>();
		HttpServer guard = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		guard.createContext("/", (exchange) -> {
			heartbeats.add(exchange.getRequestURI().getPath() + " "
					+ new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
			exchange.sendResponseHeaders(200, -1);
			exchange.close();
		});
		guard.start();
		try (RunnerStandIn endpoint = new RunnerStandIn("endpoint", Cluster.SERVICE, 1_000, freePort(),
				URI.create("http://127.0.0.1:" + guard.getAddress().getPort()), new OrderObserver(), 1)) {
			String own = heartbeats.poll(DELAY_MILLIS, TimeUnit.MILLISECONDS);
			assertThat(own).startsWith("/v1/Instances.Heartbeat/endpoint-1 ");
			long born = Long.parseLong(own.replaceAll(".*\"born\":(\\d+).*", "$1"));
			endpoint.sendForeignHeartbeat(RunnerStandIn.ForeignHeartbeat.OTHER_ID);
			String foreign = heartbeats.poll(DELAY_MILLIS, TimeUnit.MILLISECONDS);
			while (foreign != null && !foreign.contains("-other")) {
				foreign = heartbeats.poll(DELAY_MILLIS, TimeUnit.MILLISECONDS);
			}
			assertThat(foreign).startsWith("/v1/Instances.Heartbeat/endpoint-1-other ")
				.contains("\"born\":" + born + ",");
		}
		finally {
			guard.stop(0);
		}
	}

	private String send(StoreStandIn store, String path, String body) throws Exception {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + store.port() + path))
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build();
		HttpResponse<String> reply = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
		this.lastStatus = reply.statusCode();
		return reply.body();
	}

	private static int freePort() throws IOException {
		try (ServerSocket probe = new ServerSocket(0)) {
			return probe.getLocalPort();
		}
	}

	private final class OrderObserver implements RunObserver {

		private final BlockingQueue<String> ends = new LinkedBlockingQueue<>();

		@Override
		public void onRunStarted(String endpoint, String task, long run, String spec, long drainingMillis) {
			assertThat(task).isEqualTo("job.0.0.0");
		}

		@Override
		public void onRunEnded(String endpoint, String task, long run, String outcome) {
			assertThat(task).isEqualTo("job.0.0.0");
			this.ends.add(outcome);
		}

		@Override
		public void onOrder(String endpoint, String order) {
			StandInFaultTests.this.orders.add(order);
		}

	}

}
