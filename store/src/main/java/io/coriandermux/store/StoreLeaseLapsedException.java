package io.coriandermux.store;

/**
 * Thrown if a lease has expired. The store has removed the keys that were bound to it.
 */
public final class StoreLeaseLapsedException extends StoreException {

	/**
	 * Creates the exception.
	 * @param lease the id of the lease
	 */
	public StoreLeaseLapsedException(long lease) {
		super("the lease " + lease + " has expired");
	}

}
