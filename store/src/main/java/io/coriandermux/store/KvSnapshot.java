package io.coriandermux.store;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The keys under a prefix at one moment.
 *
 * @param revision revision of the last change under the prefix, 0 if there was none
 * @param entries the keys in ascending order
 */
public record KvSnapshot(long revision, List<KvEntry> entries) {

	/** What is known before the first read. */
	public static final KvSnapshot NONE = new KvSnapshot(0, List.of());

	/**
	 * Applies later changes. A change that is older than what is known of its key is left
	 * out, since pages of a read may be newer than the revision of the first one.
	 * @param newRevision revision up to which the changes are complete
	 * @param changes the changes in ascending order of their revisions
	 * @return the keys after the changes
	 */
	public KvSnapshot changed(long newRevision, List<KvChange> changes) {
		Map<String, KvEntry> changed = new TreeMap<>();
		this.entries.forEach((entry) -> changed.put(entry.key(), entry));
		for (KvChange change : changes) {
			KvEntry known = changed.get(change.key());
			if (known != null && known.revision() >= change.revision()) {
				continue;
			}
			change.value()
				.ifPresentOrElse(
						(value) -> changed.put(change.key(), new KvEntry(change.key(), value, change.revision())),
						() -> changed.remove(change.key()));
		}
		return new KvSnapshot(newRevision, List.copyOf(changed.values()));
	}

	/**
	 * Returns the entry of a key.
	 * @param key the key
	 * @return its entry, or empty if the key is absent
	 */
	public Optional<KvEntry> entry(String key) {
		return this.entries.stream().filter((entry) -> entry.key().equals(key)).findFirst();
	}

}
