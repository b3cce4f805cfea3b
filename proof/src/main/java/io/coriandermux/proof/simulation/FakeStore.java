package io.coriandermux.proof.simulation;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.coriandermux.proof.journal.ConfigAccepted;
import io.coriandermux.proof.journal.StoreReachabilityChanged;

/**
 * In-memory key-value store of the platform with compare-and-swap, leases, watches and
 * one revision counter for all keys. It can be down or slow, lose the answer of a write
 * that took effect, or deliver stale snapshots. The calls of one process take effect in
 * order.
 */
final class FakeStore {

	/** Prefix of the configuration documents. */
	static final String CONFIG = "/config/";

	private static final long HALF_CALL_NANOS = 1_000_000;

	private static final long CALL_TIMEOUT_NANOS = 2_000_000_000;

	private static final long FAILURE_DELAY_NANOS = 5_000_000;

	private static final long WATCH_RETRY_NANOS = 500_000_000;

	private final Simulation simulation;

	private final TreeMap<String, Versioned> values = new TreeMap<>();

	private final Map<String, Long> leaseEnds = new LinkedHashMap<>();

	private final Map<SimulatedProcess, Long> lastCallEnds = new LinkedHashMap<>();

	private final Map<SimulatedProcess, Map<String, Consumer<SortedMap<String, Versioned>>>> watches = new LinkedHashMap<>();

	private final Map<SimulatedProcess, Runnable> outageListeners = new LinkedHashMap<>();

	private long revision;

	private long downUntil;

	private long slowUntil;

	private long slowCallNanos;

	private long staleUntil;

	private final Map<String, SortedMap<String, Versioned>> lastSnapshots = new LinkedHashMap<>();

	private int writeAnswersToLose;

	FakeStore(Simulation simulation) {
		this.simulation = simulation;
	}

	// Performs a read or write for a process; the process is null for operators.
	<T> void call(SimulatedProcess caller, boolean write, Supplier<T> operation, Consumer<T> success,
			Runnable failure) {
		long now = this.simulation.clock().now();
		if (isDown()) {
			this.simulation.clock().scheduleAfter(FAILURE_DELAY_NANOS, () -> complete(caller, failure));
			return;
		}
		long halfNanos = halfCallNanos();
		long effectAt = now + halfNanos;
		if (caller != null) {
			effectAt = Math.max(effectAt, this.lastCallEnds.getOrDefault(caller, 0L) + 1);
			this.lastCallEnds.put(caller, effectAt + halfNanos);
		}
		this.simulation.clock().scheduleAt(effectAt, () -> {
			if (isDown()) {
				this.simulation.clock().scheduleAfter(FAILURE_DELAY_NANOS, () -> complete(caller, failure));
				return;
			}
			T result = operation.get();
			boolean lost = write && this.writeAnswersToLose > 0;
			if (lost) {
				this.writeAnswersToLose--;
			}
			if (lost || 2 * halfNanos > CALL_TIMEOUT_NANOS) {
				this.simulation.clock().scheduleAt(now + CALL_TIMEOUT_NANOS, () -> complete(caller, failure));
				return;
			}
			this.simulation.clock().scheduleAfter(halfNanos, () -> complete(caller, () -> success.accept(result)));
		});
	}

	private static void complete(SimulatedProcess caller, Runnable work) {
		if (caller == null) {
			work.run();
			return;
		}
		caller.deliver(work);
	}

	private long halfCallNanos() {
		long slow = (this.slowUntil > this.simulation.clock().now()) ? this.slowCallNanos / 2 : 0;
		return HALF_CALL_NANOS + slow;
	}

	Versioned get(String key) {
		return this.values.get(key);
	}

	SortedMap<String, Versioned> list(String prefix) {
		return new TreeMap<>(this.values.subMap(prefix, prefix + Character.MAX_VALUE));
	}

	WriteResult compareAndSwap(String key, long expected, Object value) {
		Versioned current = this.values.get(key);
		long currentRevision = (current != null) ? current.revision() : 0;
		if (currentRevision != expected) {
			return new WriteResult(0, current);
		}
		return new WriteResult(put(key, value), null);
	}

	long put(String key, Object value) {
		this.revision++;
		this.values.put(key, new Versioned(value, this.revision));
		if (key.startsWith(CONFIG)) {
			this.simulation.journal().add(new ConfigAccepted(this.simulation.clock().now(), this.revision));
		}
		notifyWatchers(key);
		return this.revision;
	}

	// Writes a key that expires unless it is written again within the lease.
	void putLeased(String key, Object value, long leaseNanos) {
		if (!this.values.containsKey(key) || !this.values.get(key).value().equals(value)) {
			put(key, value);
		}
		this.leaseEnds.put(key, this.simulation.clock().now() + leaseNanos);
		scheduleExpiry(key, leaseNanos);
	}

	private void scheduleExpiry(String key, long leaseNanos) {
		this.simulation.clock().scheduleAfter(leaseNanos, () -> {
			if (this.simulation.clock().now() < this.leaseEnds.getOrDefault(key, 0L) || !this.values.containsKey(key)) {
				return;
			}
			if (isDown()) {
				scheduleExpiry(key, leaseNanos);
				return;
			}
			this.values.remove(key);
			this.revision++;
			notifyWatchers(key);
		});
	}

	void remove(String key) {
		if (this.values.remove(key) != null) {
			this.revision++;
			notifyWatchers(key);
		}
	}

	// Watches a prefix: delivers the current snapshot and one after each change.
	void watch(SimulatedProcess watcher, String prefix, Consumer<SortedMap<String, Versioned>> receiver) {
		this.watches.computeIfAbsent(watcher, (key) -> new LinkedHashMap<>()).put(prefix, receiver);
		deliverSnapshot(watcher, prefix);
	}

	private void notifyWatchers(String key) {
		for (Map.Entry<SimulatedProcess, Map<String, Consumer<SortedMap<String, Versioned>>>> watch : this.watches
			.entrySet()) {
			for (String prefix : watch.getValue().keySet()) {
				if (key.startsWith(prefix)) {
					deliverSnapshot(watch.getKey(), prefix);
				}
			}
		}
	}

	private void deliverSnapshot(SimulatedProcess watcher, String prefix) {
		if (watcher.isDead()) {
			return;
		}
		if (prefix.equals(CONFIG)) {
			this.simulation.onStep(Step.WATCH, watcher, watcher.name(), null);
		}
		Consumer<SortedMap<String, Versioned>> receiver = this.watches.get(watcher).get(prefix);
		call(watcher, false, () -> list(prefix), (found) -> {
			SortedMap<String, Versioned> previous = this.lastSnapshots.put(watcher.name() + prefix, found);
			receiver.accept(found);
			if (previous != null && this.staleUntil > this.simulation.clock().now()) {
				this.simulation.clock()
					.scheduleAfter(halfCallNanos(), () -> watcher.deliver(() -> receiver.accept(previous)));
			}
		}, () -> this.simulation.clock().scheduleAfter(WATCH_RETRY_NANOS, () -> deliverSnapshot(watcher, prefix)));
	}

	// Calls the listener at each retry interval of the watches during an outage.
	void addOutageListener(SimulatedProcess watcher, Runnable listener) {
		this.outageListeners.put(watcher, listener);
	}

	private void reportOutage() {
		if (!isDown()) {
			return;
		}
		this.outageListeners.forEach(SimulatedProcess::deliver);
		this.simulation.clock().scheduleAfter(WATCH_RETRY_NANOS, this::reportOutage);
	}

	boolean isDown() {
		return this.downUntil > this.simulation.clock().now();
	}

	void takeDown(long nanos) {
		long now = this.simulation.clock().now();
		if (!isDown()) {
			this.simulation.clock().scheduleAfter(FAILURE_DELAY_NANOS, this::reportOutage);
		}
		this.downUntil = Math.max(this.downUntil, now + nanos);
		this.simulation.journal().add(new StoreReachabilityChanged(now, false));
		this.simulation.clock().scheduleAt(this.downUntil, () -> {
			if (!isDown()) {
				this.simulation.journal().add(new StoreReachabilityChanged(this.simulation.clock().now(), true));
			}
		});
	}

	void slowDown(long nanos, long callNanos) {
		this.slowUntil = Math.max(this.slowUntil, this.simulation.clock().now() + nanos);
		this.slowCallNanos = callNanos;
	}

	// Makes watches deliver the previous snapshot again after each new one.
	void deliverStaleSnapshots(long nanos) {
		this.staleUntil = Math.max(this.staleUntil, this.simulation.clock().now() + nanos);
	}

	void loseNextWriteAnswers(int count) {
		this.writeAnswersToLose += count;
	}

	// A value with the revision of its last write.
	record Versioned(Object value, long revision) {
	}

	// The revision of a write, or 0 and the current value if the write was refused.
	record WriteResult(long revision, Versioned current) {
	}

}
