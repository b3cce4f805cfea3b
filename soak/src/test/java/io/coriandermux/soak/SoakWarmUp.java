package io.coriandermux.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import io.coriandermux.platform.standin.JobsClient;
import io.coriandermux.platform.standin.RunObserver;
import io.coriandermux.platform.standin.RunnerStandIn;

/**
 * Exercises the callers, the proxies and the stand-in of an endpoint before a cold run,
 * so that only the processes under test are cold. Otherwise the first orders are answered
 * late by the soak itself.
 */
final class SoakWarmUp {

	private static final int THREADS = 8;

	private static final int REQUESTS = 400;

	private SoakWarmUp() {
	}

	static void run(int port, int unusedPort) throws IOException, InterruptedException {
		ExecutorService executor = Executors.newFixedThreadPool(THREADS);
		ProxyLoop loop = new ProxyLoop();
		FaultProxy proxy = new FaultProxy(loop, port);
		RunnerStandIn endpoint = new RunnerStandIn("warm-up", Cluster.SERVICE, 1_000_000, port,
				URI.create("http://127.0.0.1:" + unusedPort), new SilentObserver(), 1);
		try {
			List<Callable<Boolean>> work = new ArrayList<>();
			for (int thread = 0; thread < THREADS; thread++) {
				int number = thread;
				work.add(() -> exercise(proxy.port(), number));
			}
			for (Future<Boolean> result : executor.invokeAll(work)) {
				result.get();
			}
		}
		catch (ExecutionException ex) {
			throw new IOException("the soak could not be warmed up", ex.getCause());
		}
		finally {
			executor.shutdownNow();
			proxy.close();
			endpoint.close();
			loop.close();
		}
	}

	// The endpoint answers the request of the caller as an order that it does not know.
	private static boolean exercise(int port, int number) throws IOException, InterruptedException {
		JobsClient caller = new JobsClient();
		HttpClient guard = HttpClient.newHttpClient();
		for (int request = 0; request < REQUESTS / THREADS; request++) {
			caller.submit(port, "/queue/", String.format("%016x", request), 1, 1, 1_000);
			String order = "{\"task\":\"" + number + "." + request
					+ "\",\"runId\":1,\"spec\":\"1\",\"fencingToken\":1,\"lastSeen\":0,\"waitMs\":1,\"deadlineMs\":"
					+ Long.MAX_VALUE + "}";
			for (String path : List.of("/v1/run-start", "/v1/hold", "/v1/run-stop")) {
				guard.send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
					.POST(HttpRequest.BodyPublishers.ofString(order))
					.build(), HttpResponse.BodyHandlers.discarding());
			}
		}
		return true;
	}

	private static final class SilentObserver implements RunObserver {

		@Override
		public void onRunStarted(String endpoint, String task, long run, String spec, long drainingMillis) {
			// Runs of the warm-up belong to no job.
		}

		@Override
		public void onRunEnded(String endpoint, String task, long run, String outcome) {
			// Runs of the warm-up belong to no job.
		}

		@Override
		public void onOrder(String endpoint, String order) {
			// Orders of the warm-up belong to no job.
		}

	}

}
