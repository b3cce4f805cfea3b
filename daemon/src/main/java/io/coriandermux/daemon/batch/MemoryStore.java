package io.coriandermux.daemon.batch;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import io.coriandermux.store.KvEntry;
import io.coriandermux.store.KvSnapshot;
import io.coriandermux.store.Store;
import io.coriandermux.store.StoreConflictException;

/**
 * An in-memory store for processes that run in the same JVM. Its leases do not expire.
 */
public final class MemoryStore implements Store {

	private final Map<String, KvEntry> entries = new TreeMap<>();

	private long revision;

	@Override
	public synchronized KvSnapshot readPrefix(String prefix) {
		return new KvSnapshot(this.revision,
				this.entries.values().stream().filter((entry) -> entry.key().startsWith(prefix)).toList());
	}

	@Override
	public synchronized long put(String key, String value, long expected, Optional<Long> lease)
			throws StoreConflictException {
		check(key, expected);
		this.revision++;
		this.entries.put(key, new KvEntry(key, value, this.revision));
		notifyAll();
		return this.revision;
	}

	@Override
	public synchronized long delete(String key, long expected) throws StoreConflictException {
		check(key, expected);
		this.revision++;
		this.entries.remove(key);
		notifyAll();
		return this.revision;
	}

	@Override
	public long grantLease(long ttlMillis) {
		return 1;
	}

	@Override
	public void renewLease(long lease) {
		// Leases do not expire.
	}

	@Override
	public synchronized KvSnapshot watch(String prefix, KvSnapshot known, long waitMillis) {
		if (this.revision == known.revision()) {
			try {
				TimeUnit.MILLISECONDS.timedWait(this, waitMillis);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		return readPrefix(prefix);
	}

	@Override
	public void close() {
		// There are no resources to release.
	}

	private void check(String key, long expected) throws StoreConflictException {
		Optional<KvEntry> existing = Optional.ofNullable(this.entries.get(key));
		long actual = existing.map(KvEntry::revision).orElse(0L);
		if (actual != expected) {
			throw new StoreConflictException(key, actual, existing.map(KvEntry::value));
		}
	}

}
