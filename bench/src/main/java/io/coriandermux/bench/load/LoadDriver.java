package io.coriandermux.bench.load;

import java.net.URI;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.coriandermux.http.HttpConnection;
import io.coriandermux.http.HttpReply;
import io.coriandermux.http.HttpRequest;
import io.coriandermux.http.UndertowHttpClient;
import io.coriandermux.wire.TimeSource;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Submits jobs over persistent connections, one job at a time on each, as fast as the
 * responses arrive or at a fixed rate. At a fixed rate, the response time counts from the
 * time at which a job was due, so that jobs submitted late do not hide a stall of the
 * system.
 */
public final class LoadDriver implements AutoCloseable {

	private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(1);

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final Pattern OUTCOME = Pattern.compile("\"outcome\"\\s*:\\s*\"([a-z_]+)\"");

	private final LoadOptions options;

	private final TimeSource time;

	private final UndertowHttpClient httpClient;

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor((work) -> {
		Thread thread = new Thread(work, "load-timer");
		thread.setDaemon(true);
		return thread;
	});

	/**
	 * Creates a driver.
	 * @param options the options of the load run
	 * @param httpClient the HTTP client
	 * @param time the clock
	 */
	public LoadDriver(LoadOptions options, UndertowHttpClient httpClient, TimeSource time) {
		this.options = options;
		this.httpClient = httpClient;
		this.time = time;
	}

	/**
	 * Runs one phase.
	 * @param name name of the phase
	 * @param ratePerSecond jobs per second, 0 for as fast as the connections allow
	 * @return the result
	 * @throws LoadException if a connection cannot be opened or the phase exceeds its
	 * time limit
	 */
	public PhaseResult run(String name, double ratePerSecond) throws LoadException {
		List<HttpConnection> connections = openConnections();
		Run run = new Run(ratePerSecond, this.time.now().nanos());
		List<CompletableFuture<Void>> completions = new ArrayList<>();
		for (int index = 0; index < connections.size(); index++) {
			CompletableFuture<Void> done = new CompletableFuture<>();
			completions.add(done);
			submitNext(run, connections.get(index), entryFor(index), done);
		}
		await(CompletableFuture.allOf(completions.toArray(CompletableFuture[]::new)), "phase " + name);
		double seconds = (double) (this.time.now().nanos() - run.startNanos) / NANOS_PER_SECOND;
		connections.forEach(HttpConnection::close);
		Map<String, Long> outcomes = new ConcurrentHashMap<>();
		run.outcomes.forEach((outcome, count) -> outcomes.put(outcome, count.sum()));
		return new PhaseResult(name, ratePerSecond, seconds, run.addedMicros, outcomes);
	}

	private List<HttpConnection> openConnections() throws LoadException {
		List<HttpConnection> connections = new ArrayList<>();
		for (int index = 0; index < this.options.connections(); index++) {
			connections.add(await(this.httpClient.connect(entryFor(index)), "connection to " + entryFor(index)));
		}
		return connections;
	}

	private URI entryFor(int index) {
		return this.options.entries().get(index % this.options.entries().size());
	}

	private void submitNext(Run run, HttpConnection connection, URI entry, CompletableFuture<Void> done) {
		int number = run.nextJob.getAndIncrement();
		if (number >= this.options.jobs() || !connection.isOpen()) {
			done.complete(null);
			return;
		}
		long now = this.time.now().nanos();
		long dueNanos = (run.ratePerSecond > 0)
				? run.startNanos + (long) (number * NANOS_PER_SECOND / run.ratePerSecond) : now;
		if (dueNanos > now) {
			this.timer.schedule(() -> send(run, connection, entry, dueNanos, done), dueNanos - now,
					TimeUnit.NANOSECONDS);
			return;
		}
		send(run, connection, entry, dueNanos, done);
	}

	private void send(Run run, HttpConnection connection, URI entry, long dueNanos, CompletableFuture<Void> done) {
		HttpRequest request = new HttpRequest("POST", entry.resolve("/v1/jobs?waitMs=30000"), requestBody())
			.withHeader("Authorization", "Bearer " + this.options.ownerKey());
		connection.send(request).whenComplete((response, ex) -> {
			run.outcomes.computeIfAbsent(outcome(response, ex), (key) -> new LongAdder()).increment();
			long micros = TimeUnit.NANOSECONDS.toMicros(this.time.now().nanos() - dueNanos);
			long addedMicros = micros - TimeUnit.MILLISECONDS.toMicros(this.options.sleepMillis());
			run.addedMicros.recordValue(Math.max(0, Math.min(MAX_MICROS, addedMicros)));
			submitNext(run, connection, entry, done);
		});
	}

	private static String outcome(HttpReply response, Throwable ex) {
		if (ex != null) {
			return "error";
		}
		Matcher matcher = OUTCOME.matcher(response.body());
		return matcher.find() ? matcher.group(1) : "status " + response.status();
	}

	private String requestBody() {
		String task = "{\"path\":\"" + this.options.path() + "\",\"payload\":{\"sleepMs\":" + this.options.sleepMillis()
				+ "}}";
		String tasks = String.join(",", Collections.nCopies(this.options.tasksPerJob(), task));
		return "{\"deadlineMs\":30000,\"tasks\":[" + tasks + "]}";
	}

	private <T> T await(CompletableFuture<T> future, String description) throws LoadException {
		try {
			return future.get(this.options.phaseTimeout().toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new LoadException(description + ": interrupted", ex);
		}
		catch (ExecutionException ex) {
			throw new LoadException(description + ": " + ex.getCause().getMessage(), ex.getCause());
		}
		catch (TimeoutException ex) {
			throw new LoadException(
					description + ": did not finish within " + this.options.phaseTimeout().toSeconds() + " s", ex);
		}
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

	private static final class Run {

		private final double ratePerSecond;

		private final long startNanos;

		private final AtomicInteger nextJob = new AtomicInteger();

		private final Histogram addedMicros = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);

		private final Map<String, LongAdder> outcomes = new ConcurrentHashMap<>();

		Run(double ratePerSecond, long startNanos) {
			this.ratePerSecond = ratePerSecond;
			this.startNanos = startNanos;
		}

	}

}
