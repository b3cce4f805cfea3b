package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.stream.Stream;

/**
 * A small deployment: the store, entries, and guards with their runners. The processes of
 * the system are started with the commands of the deploy file.
 */
final class Deployment implements AutoCloseable {

	static final String SERVICE = "orders";

	static final String HOST = "jobs.example";

	private final Record record;

	private final Path folder;

	private final StoreServer store = new StoreServer();

	private final Map<String, Node> nodes = new LinkedHashMap<>();

	private final Runs runs;

	private final List<RunnerServer> runners = new ArrayList<>();

	private final BiConsumer<String, String> onStarted;

	private final Thread hook = new Thread(this::killAll);

	Deployment(Record record, BiConsumer<String, String> onStarted) throws IOException {
		this.record = record;
		this.runs = new Runs(record);
		this.onStarted = onStarted;
		this.folder = Files.createTempDirectory("coriandermux-review");
		Runtime.getRuntime().addShutdownHook(this.hook);
	}

	/** Writes a configuration with a route that leads to the service. */
	void configure(long version, String prefix) {
		configure(version, Map.of(prefix, SERVICE));
	}

	/** Writes a configuration with the service of each prefix. */
	void configure(long version, Map<String, String> serviceByPrefix) {
		List<String> routes = new ArrayList<>();
		List<String> services = new ArrayList<>();
		serviceByPrefix.forEach((prefix, service) -> {
			routes.add("{\"name\":\"r" + routes.size() + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix
					+ "\",\"kind\":\"non_idempotent\",\"timeoutMs\":1500,\"completionTargetMs\":60,\"priority\":0,"
					+ "\"service\":\"" + service + "\",\"maxAttempts\":3,\"slowdownFactor\":1.6}");
			services.add("{\"name\":\"" + service + "\",\"healthPath\":\"/healthz\",\"maxConnections\":64,"
					+ "\"protocol\":\"h1\",\"tls\":false,\"preconditions\":true,\"standby\":false}");
		});
		this.store.put("op/config",
				"{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
						+ String.join(",", services) + "],\"limits\":{\"maxHeaderBytes\":16384,"
						+ "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
		this.record.write("operator writes version " + version + " with " + serviceByPrefix);
	}

	/** Adds an entry that the other entries reach over a path of its own. */
	TcpPath addEntryBehindPath(String name) throws IOException {
		int peerPort = freePort();
		TcpPath path = new TcpPath(peerPort);
		this.store.translate(peerPort, path.port());
		addEntry(name, peerPort);
		return path;
	}

	void addEntry(String name) throws IOException {
		addEntry(name, freePort());
	}

	private void addEntry(String name, int peerPort) throws IOException {
		int callers = freePort();
		int ready = freePort();
		start(name, "entry", "", peerPort, callers, ready,
				"\"callers\":\"127.0.0.1:" + callers + "\",\"ready\":\"127.0.0.1:" + ready + "\",\"remoteFactor\":1.5");
	}

	void addGuard(String name) throws IOException {
		addGuard(name, SERVICE);
	}

	void addGuard(String name, String service) throws IOException {
		int app = freePort();
		int control = freePort();
		this.runners.add(new RunnerServer("i-" + name, service, app, control, this.record, this.runs, this.onStarted));
		start(name, "guard", "127.0.0.1:" + control, freePort(), 0, 0,
				"\"endpoint\":\"http://127.0.0.1:" + app + "\",\"maxLeaseMillis\":1000");
	}

	// The same settings as deploy/*.json.template give, with free ports.
	private void start(String name, String role, String control, int peerPort, int callers, int ready, String rest)
			throws IOException {
		String settings = "{\"id\":\"" + name + "\",\"zone\":\"z\",\"rack\":\"r\",\"address\":\"127.0.0.1\",\"peerPort\":"
				+ peerPort + ",\"operatorsPort\":" + freePort() + ",\"stores\":[\"http://127.0.0.1:" + this.store.port()
				+ "\"],\"secret\":\"coriandermux-on-the-platform\"," + rest + ",\"limits\":{\"connections\":1024,"
				+ "\"drainMillis\":6000}}";
		Path file = this.folder.resolve(name + ".json");
		Files.writeString(file, settings);
		Node node = new Node(command(role, control), file, this.folder.resolve(name + ".log"), callers, ready);
		this.nodes.put(name, node);
		start(name);
	}

	private static List<String> command(String role, String control) throws IOException {
		List<String> lines = Files.readAllLines(Path.of("deploy/system.toml"));
		String line = lines.stream()
			.skip(lines.indexOf("[roles." + role + "]") + 1L)
			.filter((candidate) -> candidate.startsWith("run = \""))
			.findFirst()
			.orElseThrow(() -> new IOException("the deploy file has no role " + role));
		List<String> words = new ArrayList<>(
				List.of(line.substring("run = \"".length(), line.lastIndexOf('"')).split(" ")));
		words.replaceAll((word) -> word.equals("{{listenAddrs.controlPlane}}") ? control : word);
		return words;
	}

	void start(String name) throws IOException {
		Node node = this.nodes.get(name);
		ProcessBuilder builder = new ProcessBuilder(node.command);
		builder.environment().put("CORIANDERMUX_CONFIG", node.settings.toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(ProcessBuilder.Redirect.appendTo(node.log.toFile()));
		node.process = builder.start();
		this.record.write(name + " starts");
	}

	/** Sends a signal such as KILL, TERM, STOP, CONT or HUP. */
	void signal(String name, String signal) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + signal, String.valueOf(this.nodes.get(name).process.pid())).start().waitFor();
		this.record.write(name + " gets SIG" + signal);
	}

	boolean awaitEnd(String name, long millis) throws InterruptedException {
		boolean ended = this.nodes.get(name).process.waitFor(millis, TimeUnit.MILLISECONDS);
		if (ended) {
			this.record.write(name + " has ended with " + this.nodes.get(name).process.exitValue());
		}
		return ended;
	}

	int callers(String entry) {
		return this.nodes.get(entry).callers;
	}

	List<String> running() {
		return this.runners.stream().flatMap((runner) -> runner.running().stream()).toList();
	}

	List<RunnerServer> runners() {
		return this.runners;
	}

	Runs runs() {
		return this.runs;
	}

	/** Waits until a task runs; exits with 2 if none does. */
	void awaitRun() throws InterruptedException {
		long endMillis = this.record.millis() + 5_000;
		while (running().isEmpty()) {
			if (this.record.millis() > endMillis) {
				this.record.write("no task has started; the case can't run");
				System.exit(2);
			}
			Thread.sleep(5);
		}
	}

	/**
	 * Lets other clients submit jobs that end undisturbed, so that the share of the
	 * clients that a disruption meets stays inside its limit.
	 */
	void serveOtherClients(String entry, int count) {
		for (int number = 1; number <= count; number++) {
			call(entry, "POST", "/orders/00000000000aa00" + number, 5_000, job("run-ms=200", 1, 200));
		}
	}

	boolean isReady(String entry) {
		try {
			return Http.send(this.nodes.get(entry).ready, "GET", "/v1/readyz", "127.0.0.1", Map.of(), "", 500)
				.status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/** Waits until the entries take requests; exits with 2 if they don't. */
	void awaitReady(String... entries) throws InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
		for (String entry : entries) {
			while (!isReady(entry)) {
				if (System.nanoTime() - endNanos > 0) {
					this.record.write(entry + " is not ready after 40 s; the case can't run");
					System.exit(2);
				}
				Thread.sleep(50);
			}
			this.record.write(entry + " is ready");
		}
	}

	/** Sends a request of a client and records it with its answer; status 0 means none. */
	Http.Reply call(String entry, String method, String path, long deadlineMillis, String body) {
		return call(entry, callers(entry), method, path, deadlineMillis, deadlineMillis, body);
	}

	/** As before, over a path to the entry, for a client that may leave before its deadline. */
	Http.Reply call(String entry, int port, String method, String path, long deadlineMillis, long leaveMillis,
			String body) {
		this.record.write("client -> " + entry + " " + method + " " + path + " " + body);
		Http.Reply reply;
		try {
			reply = Http.send(port, method, path, HOST,
					Map.of("Coriandermux-Deadline-Ms", String.valueOf(deadlineMillis)), body, (int) leaveMillis);
		}
		catch (IOException ex) {
			reply = new Http.Reply(0, String.valueOf(ex.getMessage()));
		}
		this.record.write("client <- " + entry + " " + method + " " + path + " " + reply.status() + " " + reply.body());
		return reply;
	}

	static String job(String spec, int count, long estimatedMillis) {
		return "{\"spec\":\"" + spec + "\",\"phases\":[{\"count\":" + count
				+ ",\"cpu\":1000,\"memMb\":64,\"estimatedMs\":" + estimatedMillis + "}],\"bestEffort\":true}";
	}

	static int freePort() throws IOException {
		try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			return probe.getLocalPort();
		}
	}

	private void killAll() {
		this.nodes.values().forEach((node) -> node.process.destroyForcibly());
	}

	@Override
	public void close() throws IOException {
		killAll();
		this.runners.forEach(RunnerServer::close);
		this.store.close();
		if (System.getenv("KEEP_LOGS") != null) {
			System.err.println("logs in " + this.folder);
			return;
		}
		try (Stream<Path> files = Files.walk(this.folder)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.deleteIfExists(file);
			}
		}
	}

	private static final class Node {

		private final List<String> command;

		private final Path settings;

		private final Path log;

		private final int callers;

		private final int ready;

		private Process process;

		Node(List<String> command, Path settings, Path log, int callers, int ready) {
			this.command = command;
			this.settings = settings;
			this.log = log;
			this.callers = callers;
			this.ready = ready;
		}

	}

}
