package io.coriandermux.store;

import java.util.Optional;

/**
 * The platform's key-value store. Calls block until the store answers or a timeout
 * expires.
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
	 * Writes a key if its current revision is the expected one.
	 * @param key the key
	 * @param value the value
	 * @param expected the expected revision, 0 if the key must not exist
	 * @param lease the id of the lease that the key is bound to, empty for a key without
	 * a lease
	 * @return the new revision
	 * @throws StoreConflictException if the key has another revision
	 * @throws StoreUnavailableException if no answer arrives; whether the write took
	 * effect is then unknown
	 * @throws StoreException if the lease has expired or the store rejects the write
	 */
	long put(String key, String value, long expected, Optional<Long> lease) throws StoreException;

	/**
	 * Deletes a key if its current revision is the expected one.
	 * @param key the key
	 * @param expected the expected revision
	 * @return the revision of the deletion
	 * @throws StoreConflictException if the key has another revision
	 * @throws StoreUnavailableException if no answer arrives; whether the write took
	 * effect is then unknown
	 * @throws StoreException if the store rejects the deletion
	 */
	long delete(String key, long expected) throws StoreException;

	/**
	 * Creates a lease.
	 * @param ttlMillis time to live in milliseconds, counted from each renewal
	 * @return the id of the lease
	 * @throws StoreException if no store process answers
	 */
	long grantLease(long ttlMillis) throws StoreException;

	/**
	 * Renews a lease.
	 * @param lease the id of the lease
	 * @throws StoreLeaseExpiredException if the lease has expired
	 * @throws StoreException if no store process answers
	 */
	void renewLease(long lease) throws StoreException;

	/**
	 * Waits for a change under a prefix and returns the keys after it.
	 * @param prefix the prefix
	 * @param known the snapshot that the last read or watch returned, or
	 * {@link KvSnapshot#NONE}
	 * @param waitMillis maximum wait in milliseconds
	 * @return the keys with their values, unchanged if nothing changed during the wait
	 * @throws StoreException if no store process answers
	 */
	KvSnapshot watch(String prefix, KvSnapshot known, long waitMillis) throws StoreException;

	@Override
	void close();

}
