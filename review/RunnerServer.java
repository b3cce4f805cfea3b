package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Stand-in of a runner. A task runs for the milliseconds that its spec names as run-ms.
 */
final class RunnerServer implements AutoCloseable {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final Pattern RUN_MILLIS = Pattern.compile("run-ms=(\\d+)");

	private static final long MAX_LEASE_MILLIS = 1_000;

	private static final long TASK_MILLICORES = 1_000;

	private static final int SLOTS = 8;

	private final String id;

	private final String service;

	private final int guardPort;

	private final Record record;

	private final Runs runs;

	private final int port;

	private HttpServer server;

	private final ExecutorService threads = Executors.newCachedThreadPool(RunnerServer::daemon);

	private final List<JsonNode> lateStarts = new ArrayList<>();

	private boolean lateOrders;

	private boolean crashed;

	private long bornMillis;

	private long startedNanos;

	private final Map<String, Run> active = new LinkedHashMap<>();

	private final Map<String, Long> latest = new LinkedHashMap<>();

	private final List<Run> ended = new ArrayList<>();

	private final BiConsumer<String, String> onStarted;

	private long endCount;

	private long highestToken;

	private long leaseUntilMillis;

	private long sequence;

	RunnerServer(String id, String service, int port, int guardPort, Record record, Runs runs,
			BiConsumer<String, String> onStarted)
			throws IOException {
		this.id = id;
		this.service = service;
		this.guardPort = guardPort;
		this.record = record;
		this.runs = runs;
		this.onStarted = onStarted;
		this.port = port;
		startIncarnation();
		this.threads.execute(() -> repeat(5, this::tick));
		this.threads.execute(() -> repeat(1_500, this::heartbeat));
	}

	private void startIncarnation() throws IOException {
		this.bornMillis = System.currentTimeMillis();
		this.startedNanos = System.nanoTime();
		this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", this.port), 256);
		this.server.setExecutor(this.threads);
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	/**
	 * Sets whether start orders get no answer and are carried out when
	 * {@link #carryOutLateStarts} is called.
	 * @param late whether they are late from now on
	 */
	synchronized void setLateOrders(boolean late) {
		this.lateOrders = late;
	}

	synchronized int lateStarts() {
		return this.lateStarts.size();
	}

	/**
	 * Carries out the start orders that were not answered.
	 * @param shiftMillis by how much their leases are shifted, 0 if they are not
	 */
	synchronized void carryOutLateStarts(long shiftMillis) throws InterruptedException {
		for (JsonNode request : this.lateStarts) {
			((ObjectNode) request).put("deadlineMs", request.path("deadlineMs").asLong() + shiftMillis);
			ObjectNode reply = JSON.createObjectNode();
			int status = decide("/v1/run-start", this.id, request, reply);
			this.record.write("runner " + this.id + " carries out late: /v1/run-start " + request + " -> " + status + " "
					+ reply.path("reason").asText());
		}
		this.lateStarts.clear();
	}

	/** Ends the process of the runner: its runs, its connections and all that it knows. */
	synchronized void crash() {
		this.crashed = true;
		this.server.stop(0);
		this.active.keySet().forEach((task) -> {
			this.runs.end(task);
			this.record.write("runner " + this.id + " crashes with " + task);
		});
		this.active.clear();
		this.latest.clear();
		this.ended.clear();
		this.endCount = 0;
		this.highestToken = 0;
		this.leaseUntilMillis = 0;
		this.sequence = 0;
		this.record.write("runner " + this.id + " has crashed");
	}

	/** Starts the runner again under its id and at its address. */
	synchronized void restart() throws IOException {
		this.crashed = false;
		startIncarnation();
		this.record.write("runner " + this.id + " is back under its id, born " + this.bornMillis);
		this.threads.execute(this::heartbeat);
	}

	private static Thread daemon(Runnable work) {
		Thread thread = new Thread(work, "runner");
		thread.setDaemon(true);
		return thread;
	}

	private static void repeat(long millis, Runnable work) {
		while (!Thread.currentThread().isInterrupted()) {
			work.run();
			try {
				Thread.sleep(millis);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private long clock() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedNanos) + 1_000;
	}

	private void heartbeat() {
		synchronized (this) {
			if (this.crashed) {
				return;
			}
		}
		ObjectNode report = JSON.createObjectNode()
			.put("service", this.service)
			.put("address", "127.0.0.1:" + this.port)
			.put("zone", "z")
			.put("version", "v1")
			.put("slots", SLOTS)
			.put("state", "ready")
			.put("coldRemainingMs", 0)
			.put("clockMs", clock())
			.put("born", this.bornMillis);
		synchronized (this) {
			this.sequence++;
			report.put("sequence", this.sequence);
		}
		report.putObject("capacity").put("cpu", SLOTS * TASK_MILLICORES).put("memMb", 16_384).put("gpu", 0);
		report.putArray("labels").add("a").add("r1-1");
		try {
			Http.send(this.guardPort, "POST", "/v1/Instances.Heartbeat/" + this.id, "127.0.0.1", Map.of(),
					report.toString(), 1_000);
		}
		catch (IOException ex) {
			// The guard is down; the next heartbeat follows.
		}
	}

	private void handle(HttpExchange exchange) throws IOException {
		try (exchange) {
			byte[] body;
			try (InputStream in = exchange.getRequestBody()) {
				body = in.readAllBytes();
			}
			JsonNode request = JSON.readTree(new String(body, StandardCharsets.UTF_8));
			if (isLate(exchange.getRequestURI().getPath(), request)) {
				return;
			}
			ObjectNode reply = JSON.createObjectNode();
			int status = answer(exchange.getRequestURI().getPath(),
					exchange.getRequestHeaders().getFirst("Coriandermux-Expected-Instance"),
					request, reply);
			byte[] bytes = reply.toString().getBytes(StandardCharsets.UTF_8);
			exchange.getResponseHeaders().set("Content-Type", "application/json");
			exchange.sendResponseHeaders(status, bytes.length);
			exchange.getResponseBody().write(bytes);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// A late order gets no answer: the connection stays silent until its sender closes it.
	private boolean isLate(String path, JsonNode request) throws InterruptedException {
		synchronized (this) {
			if (!this.lateOrders || !path.equals("/v1/run-start")) {
				return false;
			}
			this.lateStarts.add(request);
			this.record.write("runner " + this.id + " leaves unanswered: " + path + " " + request);
		}
		Thread.sleep(1_000);
		return true;
	}

	private synchronized int answer(String path, String expected, JsonNode request, ObjectNode reply)
			throws InterruptedException {
		int status = decide(path, expected, request, reply);
		reply.put("clockMs", clock()).put("born", this.bornMillis);
		if (!path.equals("/v1/hold")) {
			this.record.write("runner " + this.id + " " + path + " " + request + " -> " + status + " "
					+ reply.path("reason").asText());
		}
		return status;
	}

	private int decide(String path, String expected, JsonNode request, ObjectNode reply) throws InterruptedException {
		if (expected != null && !expected.equals(this.id)) {
			return 421;
		}
		long token = request.path("fencingToken").asLong();
		if (token < this.highestToken) {
			reply.put("reason", "fence");
			return 409;
		}
		this.highestToken = token;
		if (path.equals("/v1/run-start")) {
			String reason = start(request);
			if (!reason.isEmpty()) {
				reply.put("reason", reason);
			}
			return reason.isEmpty() ? 200 : 409;
		}
		if (path.equals("/v1/run-stop")) {
			stop(request.path("task").asText(), request.path("runId").asLong());
			return 200;
		}
		if (path.equals("/v1/hold")) {
			hold(request, reply);
			return 200;
		}
		return 404;
	}

	private void extendLease(JsonNode request) {
		this.leaseUntilMillis = Math.max(this.leaseUntilMillis,
				Math.min(request.path("deadlineMs").asLong(), clock() + MAX_LEASE_MILLIS));
	}

	private String start(JsonNode request) {
		String task = request.path("task").asText();
		long number = request.path("runId").asLong();
		Run current = this.active.get(task);
		if (current != null && current.number == number) {
			return "";
		}
		if (request.path("deadlineMs").asLong() <= clock()) {
			return "late";
		}
		extendLease(request);
		if (current != null || number <= this.latest.getOrDefault(task, 0L)) {
			return "old";
		}
		if (this.active.size() >= SLOTS) {
			return "room";
		}
		String spec = request.path("spec").asText();
		Matcher matcher = RUN_MILLIS.matcher(spec);
		long millis = matcher.find() ? Long.parseLong(matcher.group(1)) : 100;
		this.active.put(task, new Run(task, number, clock(), clock() + millis, 0, ""));
		this.record.write("runner " + this.id + " begins " + task + " run " + number + " spec " + spec);
		this.runs.begin(task);
		this.onStarted.accept(task, spec);
		return "";
	}

	private void stop(String task, long number) {
		this.latest.merge(task, number, Math::max);
		Run run = this.active.get(task);
		if (run != null && run.number <= number) {
			end(run, "stopped");
		}
	}

	private void end(Run run, String how) {
		this.active.remove(run.task);
		this.runs.end(run.task);
		this.latest.merge(run.task, run.number, Math::max);
		this.endCount++;
		this.ended.add(new Run(run.task, run.number, run.startMillis, run.endMillis, this.endCount, how));
		this.record.write("runner " + this.id + " ends " + run.task + " run " + run.number + " " + how);
		notifyAll();
	}

	private void hold(JsonNode request, ObjectNode reply) throws InterruptedException {
		extendLease(request);
		this.ended.removeIf((run) -> run.endNumber <= request.path("lastSeen").asLong());
		long untilMillis = clock() + request.path("waitMs").asLong();
		while (this.ended.isEmpty() && clock() < untilMillis) {
			wait(Math.max(1, untilMillis - clock()));
		}
		ArrayNode running = reply.putArray("active");
		this.active.values()
			.forEach((run) -> running.addArray()
				.add(run.task)
				.add(run.number)
				.add("")
				.add((int) Math.min(99, 100 * (clock() - run.startMillis) / Math.max(1, run.endMillis - run.startMillis)))
				.add(TASK_MILLICORES));
		ArrayNode finished = reply.putArray("finished");
		this.ended.forEach(
				(run) -> finished.addArray().add(run.endNumber).add(run.task).add(run.number).add(run.how).add(""));
	}

	private synchronized void tick() {
		long now = clock();
		for (Run run : List.copyOf(this.active.values())) {
			if (now >= this.leaseUntilMillis) {
				end(run, "lapsed");
			}
			else if (now >= run.endMillis) {
				end(run, "done");
			}
		}
	}

	/** Returns the tasks that run now. */
	synchronized List<String> running() {
		return List.copyOf(this.active.keySet());
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.threads.shutdownNow();
	}

	private record Run(String task, long number, long startMillis, long endMillis, long endNumber, String how) {
	}

}
