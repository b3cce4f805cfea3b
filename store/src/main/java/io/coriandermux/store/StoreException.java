package io.coriandermux.store;

/**
 * Thrown if a call to the store fails. The subtypes distinguish what is known about the
 * effect of the call.
 */
public abstract sealed class StoreException extends Exception
		permits StoreConflictException, StoreUnavailableException, StoreLeaseExpiredException, StoreRejectedException {

	StoreException(String message) {
		super(message);
	}

	StoreException(String message, Throwable cause) {
		super(message, cause);
	}

}
