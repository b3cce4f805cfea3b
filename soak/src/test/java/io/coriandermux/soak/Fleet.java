package io.coriandermux.soak;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.coriandermux.platform.standin.RunObserver;
import io.coriandermux.platform.standin.RunnerStandIn;
import io.coriandermux.platform.standin.StoreStandIn;

/**
 * The processes of a run, their endpoints, the store, and the proxies on the links
 * between them.
 */
final class Fleet implements AutoCloseable {

	/** Time that a process has to end after it was asked to. */
	static final long GRACE_MILLIS = 6_000;

	static final String SERVICE = "orders";

	private static final int CORES = 8_000;

	/**
	 * Ports below the range from which the system takes ports for outgoing connections,
	 * so that none takes the port of a process that is about to start again.
	 */
	private static final int LOWEST_PORT = 10_000;

	private static final int PORTS = 20_000;

	private final Random random;

	private final Path folder;

	private final RunObserver observer;

	private final StoreStandIn store = new StoreStandIn(this::throughProxies);

	/** Port of the proxy by the port that a process announces. */
	private final Map<Integer, Integer> announced = new LinkedHashMap<>();

	private final List<FaultProxy> links = new ArrayList<>();

	private final List<SystemProcess> entries = new ArrayList<>();

	private final List<Integer> callerPorts = new ArrayList<>();

	private final List<SystemProcess> guards = new ArrayList<>();

	private final List<RunnerStandIn> endpoints = new ArrayList<>();

	Fleet(Random random, Path folder, RunObserver observer, int entryCount, int guardCount) throws IOException {
		this.random = random;
		this.folder = folder;
		this.observer = observer;
		Files.createDirectories(folder);
		for (int number = 1; number <= entryCount; number++) {
			addEntry("entry-" + number);
		}
		for (int number = 1; number <= guardCount; number++) {
			addGuard("guard-" + number);
		}
	}

	StoreStandIn store() {
		return this.store;
	}

	List<FaultProxy> links() {
		return this.links;
	}

	List<SystemProcess> entries() {
		return this.entries;
	}

	List<SystemProcess> guards() {
		return this.guards;
	}

	List<RunnerStandIn> endpoints() {
		return this.endpoints;
	}

	int callerPort(int entry) {
		return this.callerPorts.get(entry);
	}

	List<SystemProcess> processes() {
		List<SystemProcess> all = new ArrayList<>(this.entries);
		all.addAll(this.guards);
		return all;
	}

	private void addEntry(String name) throws IOException {
		int callersPort = freePort();
		String text = settings(name, freePort(), "\"callers\":\"127.0.0.1:" + callersPort + "\",\"ready\":\"127.0.0.1:"
				+ freePort() + "\",\"remoteFactor\":1.5");
		this.entries.add(process(name, List.of("entry"), text));
		this.callerPorts.add(callersPort);
	}

	private void addGuard(String name) throws IOException {
		int endpointPort = freePort();
		int reports = freePort();
		String text = settings(name, freePort(),
				"\"endpoint\":\"http://127.0.0.1:" + proxy(endpointPort).port() + "\",\"maxLeaseMillis\":1000");
		this.guards.add(process(name, List.of("guard", "127.0.0.1:" + reports), text));
		this.endpoints.add(new RunnerStandIn(name.replace("guard", "endpoint"), SERVICE, CORES, endpointPort,
				URI.create("http://127.0.0.1:" + reports), this.observer, this.random.nextLong()));
	}

	private String settings(String name, int peerPort, String rest) throws IOException {
		this.announced.put(peerPort, proxy(peerPort).port());
		return "{\"id\":\"" + name + "\",\"zone\":\"z\",\"rack\":\"r\",\"address\":\"127.0.0.1\",\"peerPort\":"
				+ peerPort + ",\"operatorsPort\":" + freePort() + ",\"stores\":[\"http://127.0.0.1:"
				+ proxy(this.store.port()).port() + "\"],\"secret\":\"the secret of a soak run\"," + rest
				+ ",\"limits\":{\"connections\":512,\"drainMillis\":" + GRACE_MILLIS + "}}";
	}

	private SystemProcess process(String name, List<String> arguments, String settings) throws IOException {
		Path file = this.folder.resolve(name + ".json");
		Files.writeString(file, settings);
		return new SystemProcess(name, arguments, file, this.folder.resolve(name + ".log"));
	}

	private FaultProxy proxy(int target) throws IOException {
		FaultProxy proxy = new FaultProxy(target);
		this.links.add(proxy);
		return proxy;
	}

	private String throughProxies(String announcement) {
		String shown = announcement;
		for (Map.Entry<Integer, Integer> link : this.announced.entrySet()) {
			shown = shown.replace("\"port\":" + link.getKey() + ",", "\"port\":" + link.getValue() + ",");
		}
		return shown;
	}

	private int freePort() {
		int port = LOWEST_PORT + this.random.nextInt(PORTS);
		while (!isFree(port)) {
			port = LOWEST_PORT + this.random.nextInt(PORTS);
		}
		return port;
	}

	private static boolean isFree(int port) {
		try (ServerSocket probe = new ServerSocket(port)) {
			return probe.isBound();
		}
		catch (IOException ex) {
			// Another program has this port.
			return false;
		}
	}

	@Override
	public void close() throws IOException {
		processes().forEach(SystemProcess::kill);
		this.endpoints.forEach(RunnerStandIn::close);
		for (FaultProxy link : this.links) {
			link.close();
		}
		this.store.close();
	}

}
