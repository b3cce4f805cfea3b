package io.coriandermux.store;

/**
 * Thrown if a lease has expired. The store has removed the keys that were bound to it.
 */
public final class StoreLeaseExpiredException extends StoreException {

	/**
	 * Creates the exception.
	 * @param lease the id of the lease
	 */
	public StoreLeaseExpiredException(long lease) {
		super("the lease " + lease + " has expired");
	}

}
