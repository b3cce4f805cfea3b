package io.coriandermux.store;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The keys under a prefix at one revision.
 *
 * @param revision the store revision up to which all changes under the prefix are
 * included, 0 before the first read
 * @param entries the keys in ascending order
 */
public record KvSnapshot(long revision, List<KvEntry> entries) {

	/** The snapshot before the first read. */
	public static final KvSnapshot NONE = new KvSnapshot(0, List.of());

	/**
	 * Returns a copy of this snapshot with later changes applied. A change is skipped if
	 * the entry of its key is at least as new: later pages of a paged read may be newer
	 * than the revision of the first page.
	 * @param newRevision the revision up to which the changes are complete
	 * @param changes the changes in ascending order of revision
	 * @return the snapshot after the changes
	 */
	public KvSnapshot withChanges(long newRevision, List<KvChange> changes) {
		Map<String, KvEntry> entriesByKey = new TreeMap<>();
		this.entries.forEach((entry) -> entriesByKey.put(entry.key(), entry));
		for (KvChange change : changes) {
			KvEntry current = entriesByKey.get(change.key());
			if (current != null && current.revision() >= change.revision()) {
				continue;
			}
			change.value()
				.ifPresentOrElse(
						(value) -> entriesByKey.put(change.key(), new KvEntry(change.key(), value, change.revision())),
						() -> entriesByKey.remove(change.key()));
		}
		return new KvSnapshot(newRevision, List.copyOf(entriesByKey.values()));
	}

	/**
	 * Returns the entry of a key.
	 * @param key the key
	 * @return its entry, or empty if the key does not exist
	 */
	public Optional<KvEntry> entry(String key) {
		return this.entries.stream().filter((entry) -> entry.key().equals(key)).findFirst();
	}

}
