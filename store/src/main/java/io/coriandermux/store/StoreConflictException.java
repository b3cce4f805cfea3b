package io.coriandermux.store;

import java.util.Optional;

/**
 * Thrown if a key does not have the revision that a write expects. The write has no
 * effect.
 */
public final class StoreConflictException extends StoreException {

	private final long revision;

	private final transient Optional<String> value;

	/**
	 * Creates the exception.
	 * @param key the key of the write
	 * @param revision the current revision of the key, 0 if it does not exist
	 * @param value the current value, empty if the key does not exist
	 */
	public StoreConflictException(String key, long revision, Optional<String> value) {
		super("the key " + key + " is at revision " + revision);
		this.revision = revision;
		this.value = value;
	}

	/**
	 * Returns the current revision of the key.
	 * @return the revision, 0 if the key does not exist
	 */
	public long revision() {
		return this.revision;
	}

	/**
	 * Returns the current value of the key.
	 * @return the value, empty if the key does not exist
	 */
	public Optional<String> value() {
		return this.value;
	}

}
