package io.coriandermux.standins;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.coriandermux.store.KvEntry;
import io.coriandermux.store.KvSnapshot;

/**
 * In-memory keys, revisions and leases of the store stand-in. Not thread-safe.
 */
final class KvState {

	private final InstantSource clock;

	private final TreeMap<String, StoredValue> keys = new TreeMap<>();

	/** Revision of the last deletion by key, so that watches report deletions, too. */
	private final TreeMap<String, Long> deletionRevisions = new TreeMap<>();

	private final TreeMap<Long, Lease> leases = new TreeMap<>();

	private long revision;

	private long lastLeaseId;

	KvState(InstantSource clock) {
		this.clock = clock;
	}

	KvSnapshot readPrefix(String prefix) {
		List<KvEntry> entries = new ArrayList<>();
		for (Map.Entry<String, StoredValue> entry : this.keys.tailMap(prefix, true).entrySet()) {
			if (!entry.getKey().startsWith(prefix)) {
				break;
			}
			entries.add(new KvEntry(entry.getKey(), entry.getValue().value(), entry.getValue().revision()));
		}
		return new KvSnapshot(lastRevision(prefix), entries);
	}

	/**
	 * Returns the revision of the last change under a prefix.
	 * @param prefix the prefix
	 * @return the highest revision of a write or deletion, 0 if there was none
	 */
	long lastRevision(String prefix) {
		long highest = 0;
		for (Map.Entry<String, StoredValue> entry : this.keys.tailMap(prefix, true).entrySet()) {
			if (!entry.getKey().startsWith(prefix)) {
				break;
			}
			highest = Math.max(highest, entry.getValue().revision());
		}
		for (Map.Entry<String, Long> entry : this.deletionRevisions.tailMap(prefix, true).entrySet()) {
			if (!entry.getKey().startsWith(prefix)) {
				break;
			}
			highest = Math.max(highest, entry.getValue());
		}
		return highest;
	}

	Optional<KvEntry> get(String key) {
		return Optional.ofNullable(this.keys.get(key))
			.map((stored) -> new KvEntry(key, stored.value(), stored.revision()));
	}

	boolean hasLease(long lease) {
		return this.leases.containsKey(lease);
	}

	/**
	 * Writes a key if its current revision is the expected one.
	 * @param key the key
	 * @param value the value
	 * @param expected the expected revision, 0 if the key must not exist
	 * @param lease the lease that the key is bound to
	 * @return the new revision, or empty if the key has another revision
	 */
	Optional<Long> put(String key, String value, long expected, Optional<Long> lease) {
		if (currentRevision(key) != expected) {
			return Optional.empty();
		}
		this.revision++;
		this.keys.put(key, new StoredValue(value, this.revision, lease));
		this.deletionRevisions.remove(key);
		return Optional.of(this.revision);
	}

	Optional<Long> delete(String key, long expected) {
		if (expected == 0 || currentRevision(key) != expected) {
			return Optional.empty();
		}
		remove(key);
		return Optional.of(this.revision);
	}

	long grantLease(long ttlMillis) {
		this.lastLeaseId++;
		this.leases.put(this.lastLeaseId, new Lease(ttlMillis, this.clock.millis() + ttlMillis));
		return this.lastLeaseId;
	}

	boolean renewLease(long id) {
		Lease lease = this.leases.get(id);
		if (lease == null) {
			return false;
		}
		this.leases.put(id, new Lease(lease.ttlMillis(), this.clock.millis() + lease.ttlMillis()));
		return true;
	}

	/**
	 * Removes expired leases and the keys that are bound to them.
	 * @return whether a key was removed
	 */
	boolean removeExpired() {
		long now = this.clock.millis();
		this.leases.values().removeIf((lease) -> lease.expiresAtMillis() <= now);
		List<String> expiredKeys = this.keys.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().lease().filter((id) -> !hasLease(id)).isPresent())
			.map(Map.Entry::getKey)
			.toList();
		expiredKeys.forEach(this::remove);
		return !expiredKeys.isEmpty();
	}

	private void remove(String key) {
		this.revision++;
		this.keys.remove(key);
		this.deletionRevisions.put(key, this.revision);
	}

	private long currentRevision(String key) {
		StoredValue stored = this.keys.get(key);
		return (stored != null) ? stored.revision() : 0;
	}

	private record StoredValue(String value, long revision, Optional<Long> lease) {
	}

	private record Lease(long ttlMillis, long expiresAtMillis) {
	}

}
