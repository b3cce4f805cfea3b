package io.coriandermux.soak;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.regex.Pattern;

import io.coriandermux.platform.standin.RunObserver;
import io.coriandermux.platform.standin.RunnerStandIn;
import io.coriandermux.platform.standin.StoreStandIn;

/**
 * The processes of a run, the stand-ins of their endpoints and of the store, and the
 * fault proxies on the links between them.
 */
final class Cluster implements AutoCloseable {

	/** Time within which a process must end after SIGTERM. */
	static final long GRACE_MILLIS = 6_000;

	static final String SERVICE = "orders";

	/**
	 * Ports are drawn below the ephemeral range, so that no outgoing connection takes the
	 * port of a process that is about to restart.
	 */
	private static final int MIN_PORT = 10_000;

	private static final int PORT_RANGE = 20_000;

	/**
	 * With more links between entries and guards, only some processes are reached through
	 * a proxy. Each proxied message wakes one more thread, which takes more CPU time than
	 * the message.
	 */
	private static final int MAX_PROXIED_LINKS = 300;

	private static final Pattern PORT_FIELD = Pattern.compile("\"port\":(\\d+)");

	private final Random random;

	private final Path folder;

	private final StartWatch starts;

	private final ProxyLoop proxies = new ProxyLoop();

	/** Apart, so that a storm of messages between processes delays no caller. */
	private final ProxyLoop callerProxies = new ProxyLoop();

	private final StoreStandIn store = new StoreStandIn(this::withProxyPorts);

	/** The proxies by the port that the process behind them announces. */
	private final Map<Integer, FaultProxy> peerProxies = new LinkedHashMap<>();

	/** Ports of processes that do not listen yet, which the probe finds free. */
	private final Set<Integer> usedPorts = new HashSet<>();

	private final List<FaultProxy> links = new ArrayList<>();

	/** The links between processes and to the store, which leave the VM of a process. */
	private final List<FaultProxy> remoteLinks = new ArrayList<>();

	private final Map<String, FaultProxy> storeLinks = new LinkedHashMap<>();

	private final Map<String, FaultProxy> peerLinks = new LinkedHashMap<>();

	/** The links between entries, by the entry that accepts them. */
	private final List<FaultProxy> entryLinks = new ArrayList<>();

	private final List<Optional<FaultProxy>> endpointLinks = new ArrayList<>();

	private final List<Optional<FaultProxy>> guardLinks = new ArrayList<>();

	private final List<SystemProcess> entries = new ArrayList<>();

	private final List<Integer> callerPorts = new ArrayList<>();

	private final List<FaultProxy> callerPaths = new ArrayList<>();

	private final List<Integer> readyPorts = new ArrayList<>();

	private final Balancer balancer;

	/** One process in this number is reached through proxies. */
	private final int proxyInterval;

	private final int capacity;

	private final List<SystemProcess> guards = new ArrayList<>();

	private final List<RunnerStandIn> endpoints = new ArrayList<>();

	private final SignalSender signals = new SignalSender();

	Cluster(Random random, Path folder, TraceWriter trace, RunObserver observer, int entryCount, int guardCount,
			int capacity) throws IOException {
		this.random = random;
		this.capacity = capacity;
		this.folder = folder;
		this.starts = new StartWatch(observer);
		this.proxyInterval = 1 + (entryCount * guardCount - 1) / MAX_PROXIED_LINKS;
		Files.createDirectories(folder);
		for (int number = 1; number <= entryCount; number++) {
			addEntry("entry-" + number);
		}
		for (int number = 1; number <= guardCount; number++) {
			addGuard("guard-" + number);
		}
		this.balancer = new Balancer(this.callerPaths, this.readyPorts, trace::write);
	}

	StoreStandIn store() {
		return this.store;
	}

	List<FaultProxy> links() {
		return this.links;
	}

	List<FaultProxy> remoteLinks() {
		return this.remoteLinks;
	}

	StartWatch starts() {
		return this.starts;
	}

	/**
	 * Returns the link from a guard to its endpoint.
	 * @param guard index of the guard
	 * @return the link, empty if it has no proxy
	 */
	Optional<FaultProxy> endpointLink(int guard) {
		return this.endpointLinks.get(guard);
	}

	/**
	 * Returns the link from the entries to a guard.
	 * @param guard index of the guard
	 * @return the link, empty if it has no proxy
	 */
	Optional<FaultProxy> guardLink(int guard) {
		return this.guardLinks.get(guard);
	}

	FaultProxy storeLink(SystemProcess process) {
		return this.storeLinks.get(process.name());
	}

	/** The links that a process accepts from others, none if they pass no proxy. */
	Optional<FaultProxy> peerLink(SystemProcess process) {
		return Optional.ofNullable(this.peerLinks.get(process.name()));
	}

	List<FaultProxy> entryLinks() {
		return this.entryLinks;
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

	Balancer balancer() {
		return this.balancer;
	}

	ProxyLoop callerProxies() {
		return this.callerProxies;
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
		int peerPort = freePort();
		int operatorsPort = freePort();
		int readyPort = freePort();
		String settings = settingsJson(name, peerPort, operatorsPort, "\"callers\":\"127.0.0.1:" + callersPort
				+ "\",\"ready\":\"127.0.0.1:" + readyPort + "\",\"remoteFactor\":1.5");
		// Guards open no links, and of two entries the one with the lower id opens it, so
		// only entries connect to the port of an entry, and none to that of the first.
		if (!this.entries.isEmpty()) {
			Optional.ofNullable(this.peerProxies.get(peerPort)).ifPresent(this.entryLinks::add);
		}
		this.entries.add(createProcess(name, "entry", "", operatorsPort, settings));
		this.callerPorts.add(callersPort);
		this.callerPaths.add(new FaultProxy(this.callerProxies, callersPort));
		this.readyPorts.add(readyPort);
	}

	private void addGuard(String name) throws IOException {
		int endpointPort = freePort();
		int reportsPort = freePort();
		int peerPort = freePort();
		int operatorsPort = freePort();
		Optional<FaultProxy> endpointLink = isNextProxied() ? Optional.of(addProxy(endpointPort)) : Optional.empty();
		this.endpointLinks.add(endpointLink);
		String settings = settingsJson(name, peerPort, operatorsPort, "\"endpoint\":\"http://127.0.0.1:"
				+ endpointLink.map(FaultProxy::port).orElse(endpointPort) + "\",\"maxLeaseMillis\":1000");
		this.guardLinks.add(Optional.ofNullable(this.peerProxies.get(peerPort)));
		this.guards.add(createProcess(name, "guard", "127.0.0.1:" + reportsPort, operatorsPort, settings));
		this.endpoints.add(new RunnerStandIn(name.replace("guard", "endpoint"), SERVICE, this.capacity, endpointPort,
				URI.create("http://127.0.0.1:" + reportsPort), this.starts, this.random.nextLong()));
	}

	private String settingsJson(String name, int peerPort, int operatorsPort, String rest) throws IOException {
		if (isNextProxied()) {
			FaultProxy peerProxy = addProxy(peerPort);
			this.peerProxies.put(peerPort, peerProxy);
			this.peerLinks.put(name, peerProxy);
			this.remoteLinks.add(peerProxy);
		}
		FaultProxy storeProxy = addProxy(this.store.port());
		this.storeLinks.put(name, storeProxy);
		this.remoteLinks.add(storeProxy);
		return "{\"id\":\"" + name + "\",\"zone\":\"z\",\"rack\":\"r\",\"address\":\"127.0.0.1\",\"peerPort\":"
				+ peerPort + ",\"operatorsPort\":" + operatorsPort + ",\"stores\":[\"http://127.0.0.1:"
				+ storeProxy.port() + "\"],\"secret\":\"the secret of a soak run\"," + rest
				+ ",\"limits\":{\"connections\":1024,\"drainMillis\":" + GRACE_MILLIS + "}}";
	}

	private boolean isNextProxied() {
		return (this.entries.size() + this.guards.size()) % this.proxyInterval == 0;
	}

	private SystemProcess createProcess(String name, String role, String heartbeatAddress, int operatorsPort,
			String settings) throws IOException {
		Path file = this.folder.resolve(name + ".json");
		Files.writeString(file, settings);
		return new SystemProcess(name, role, heartbeatAddress, operatorsPort, file, this.folder.resolve(name + ".log"),
				this.signals);
	}

	private FaultProxy addProxy(int target) throws IOException {
		FaultProxy proxy = new FaultProxy(this.proxies, target);
		this.links.add(proxy);
		return proxy;
	}

	private String withProxyPorts(String announcement) {
		return PORT_FIELD.matcher(announcement).replaceAll((field) -> {
			FaultProxy proxy = this.peerProxies.get(Integer.valueOf(field.group(1)));
			return "\"port\":" + ((proxy != null) ? proxy.port() : field.group(1));
		});
	}

	void warmUpSoak() throws IOException, InterruptedException {
		SoakWarmUp.run(freePort(), freePort());
	}

	private int freePort() {
		int port = MIN_PORT + this.random.nextInt(PORT_RANGE);
		while (!isFree(port) || !this.usedPorts.add(port)) {
			port = MIN_PORT + this.random.nextInt(PORT_RANGE);
		}
		return port;
	}

	private static boolean isFree(int port) {
		try (ServerSocket probe = new ServerSocket(port)) {
			return probe.isBound();
		}
		catch (IOException ex) {
			// Another program uses this port.
			return false;
		}
	}

	@Override
	public void close() throws IOException {
		processes().forEach(SystemProcess::kill);
		this.signals.close();
		this.balancer.close();
		this.endpoints.forEach(RunnerStandIn::close);
		for (FaultProxy path : this.callerPaths) {
			path.close();
		}
		for (FaultProxy link : this.links) {
			link.close();
		}
		this.proxies.close();
		this.callerProxies.close();
		this.store.close();
	}

}
