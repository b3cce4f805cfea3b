package io.coriandermux.store;

/**
 * Thrown if the store rejects a call or its answer violates the protocol. A retry does
 * not help. A write that the store rejects has no effect; a write with a malformed answer
 * may have taken effect.
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
