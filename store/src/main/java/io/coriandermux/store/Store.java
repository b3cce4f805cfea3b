package io.coriandermux.store;

import java.util.Optional;

/**
 * The platform store. Calls block up to a time limit.
 */
public interface Store extends AutoCloseable {

	/**
	 * Reads the keys under a prefix.
	 * @param prefix the prefix
	 * @return the keys with their values
	 * @throws StoreException if no store process answers
	 */
	KvSnapshot readPrefix(String prefix) throws StoreException;

	/**
	 * Writes a key if it stands at the expected revision.
	 * @param key the key
	 * @param value the value
	 * @param expected the expected revision, 0 if the key is to be absent
	 * @param lease the lease that the key is bound to, empty for a lasting key
	 * @return the new revision
	 * @throws StoreConflictException if the key stands at another revision
	 * @throws StoreUnavailableException if no answer arrives; the effect is unknown
	 * @throws StoreException if the lease has lapsed or the store rejects the write
	 */
	long put(String key, String value, long expected, Optional<Long> lease) throws StoreException;

	/**
	 * Deletes a key if it stands at the expected revision.
	 * @param key the key
	 * @param expected the expected revision
	 * @return the revision of the deletion
	 * @throws StoreConflictException if the key stands at another revision
	 * @throws StoreUnavailableException if no answer arrives; the effect is unknown
	 * @throws StoreException if the store rejects the call
	 */
	long delete(String key, long expected) throws StoreException;

	/**
	 * Creates a lease.
	 * @param ttlMillis time to live in milliseconds, counted from each renewal
	 * @return the lease
	 * @throws StoreException if no store process answers
	 */
	long grantLease(long ttlMillis) throws StoreException;

	/**
	 * Renews a lease.
	 * @param lease the lease
	 * @throws StoreLeaseLapsedException if the lease has lapsed
	 * @throws StoreException if no store process answers
	 */
	void renewLease(long lease) throws StoreException;

	/**
	 * Waits for a change under a prefix.
	 * @param prefix the prefix
	 * @param known what the caller knows
	 * @param waitMillis longest wait in milliseconds
	 * @return the keys with their values, unchanged if the wait has ended
	 * @throws StoreException if no store process answers
	 */
	KvSnapshot watch(String prefix, KvSnapshot known, long waitMillis) throws StoreException;

	@Override
	void close();

}
