package io.coriandermux.store;

/**
 * Thrown if the store rejects a call or its answer violates the protocol. A retry does
 * not help. A rejected write has no effect.
 */
public final class StoreRejectedException extends StoreException {

	/**
	 * Creates the exception.
	 * @param message the reason of the rejection
	 */
	public StoreRejectedException(String message) {
		super(message);
	}

}
