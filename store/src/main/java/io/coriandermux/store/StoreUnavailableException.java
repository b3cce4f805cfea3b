package io.coriandermux.store;

/**
 * Thrown if no store process answers. A write that was sent may have taken effect or may
 * still do so.
 */
public final class StoreUnavailableException extends StoreException {

	private final boolean possiblySent;

	/**
	 * Creates the exception.
	 * @param message the call that failed
	 * @param possiblySent whether a store process may have received the call
	 * @param cause the failure of the last attempt
	 */
	public StoreUnavailableException(String message, boolean possiblySent, Throwable cause) {
		super(message, cause);
		this.possiblySent = possiblySent;
	}

	/**
	 * Returns whether a store process may have received the call.
	 * @return {@code false} only if the call was certainly not sent, so that it had no
	 * effect
	 */
	public boolean isPossiblySent() {
		return this.possiblySent;
	}

}
