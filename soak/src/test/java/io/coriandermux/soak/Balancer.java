package io.coriandermux.soak;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.coriandermux.platform.standin.JobsClient;

/**
 * Stand-in for the balancer between callers and entries. It chooses the entry of a new
 * connection by a hash of the caller, and probes whether the entries are ready. The
 * connections themselves pass the fault proxy of their entry.
 */
final class Balancer implements AutoCloseable {

	private static final long PROBE_INTERVAL_MILLIS = 1_000;

	private static final int MAX_MISSES = 2;

	/** Spreads consecutive numbers of callers over the entries. */
	private static final int HASH_FACTOR = 0x9E3779B1;

	private final List<FaultProxy> paths;

	private final List<Integer> readyPorts;

	private final Consumer<String> trace;

	/** Consecutive probes that an entry did not answer as ready. */
	private final int[] misses;

	private final ScheduledExecutorService prober;

	/**
	 * Creates a balancer that takes all entries for ready.
	 * @param paths the proxies of the entries
	 * @param readyPorts the ports at which the entries answer probes
	 * @param trace receives a line for each change
	 */
	Balancer(List<FaultProxy> paths, List<Integer> readyPorts, Consumer<String> trace) {
		this.paths = List.copyOf(paths);
		this.readyPorts = List.copyOf(readyPorts);
		this.trace = trace;
		this.misses = new int[paths.size()];
		this.prober = Executors.newScheduledThreadPool(paths.size());
	}

	// A probe of an entry that stands still takes its whole time limit, so each entry has
	// a thread.
	void startProbing() {
		for (int entry = 0; entry < this.paths.size(); entry++) {
			int number = entry;
			this.prober.scheduleAtFixedRate(() -> onProbed(number, isReady(number)), 0, PROBE_INTERVAL_MILLIS,
					TimeUnit.MILLISECONDS);
		}
	}

	FaultProxy path(int entry) {
		return this.paths.get(entry);
	}

	List<FaultProxy> paths() {
		return this.paths;
	}

	/**
	 * Chooses the entry of a new connection.
	 * @param caller number of the caller
	 * @param attempt number of the attempt to submit the job, 0 for the first
	 * @param previous the entry of the previous attempt, which is chosen again only if
	 * there is no other one, -1 for none
	 * @return the number of the entry
	 */
	int choose(int caller, int attempt, int previous) {
		List<Integer> candidates = inRotation();
		if (candidates.size() > 1) {
			candidates.removeIf((entry) -> entry == previous);
		}
		return candidates.get(Math.floorMod(Objects.hash(caller, attempt) * HASH_FACTOR >>> 8, candidates.size()));
	}

	// If fewer than half of the entries are in rotation, the platform uses all of them.
	private synchronized List<Integer> inRotation() {
		List<Integer> ready = new ArrayList<>();
		List<Integer> all = new ArrayList<>();
		for (int entry = 0; entry < this.misses.length; entry++) {
			all.add(entry);
			if (this.misses[entry] < MAX_MISSES) {
				ready.add(entry);
			}
		}
		return (ready.size() * 2 < all.size()) ? all : ready;
	}

	synchronized void onProbed(int entry, boolean ready) {
		boolean wasOut = this.misses[entry] >= MAX_MISSES;
		this.misses[entry] = ready ? 0 : this.misses[entry] + 1;
		boolean isOut = this.misses[entry] >= MAX_MISSES;
		if (wasOut != isOut) {
			this.trace.accept("balancer " + (isOut ? "takes out" : "takes in") + " entry-" + (entry + 1));
		}
	}

	private boolean isReady(int entry) {
		try {
			HttpURLConnection probe = (HttpURLConnection) URI
				.create("http://127.0.0.1:" + this.readyPorts.get(entry) + JobsClient.READY_PATH)
				.toURL()
				.openConnection();
			probe.setConnectTimeout((int) PROBE_INTERVAL_MILLIS);
			probe.setReadTimeout((int) PROBE_INTERVAL_MILLIS);
			try {
				return probe.getResponseCode() == HttpURLConnection.HTTP_OK;
			}
			finally {
				probe.disconnect();
			}
		}
		catch (IOException ex) {
			// No answer counts as not ready.
			return false;
		}
	}

	@Override
	public void close() {
		this.prober.shutdownNow();
	}

}
