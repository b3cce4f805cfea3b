package io.coriandermux.http;

import java.io.IOException;

/**
 * Thrown if an HTTP call fails without a response.
 */
public final class HttpCallException extends IOException {

	private final boolean possiblySent;

	/**
	 * Creates the exception.
	 * @param message the call and the reason of the failure
	 * @param possiblySent whether the server may have received the request
	 * @param cause the failure, or {@code null} if the failure has no other cause, such
	 * as a timeout
	 */
	public HttpCallException(String message, boolean possiblySent, Throwable cause) {
		super(message, cause);
		this.possiblySent = possiblySent;
	}

	/**
	 * Returns whether the server may have received the request.
	 * @return {@code false} only if the request was certainly not sent
	 */
	public boolean isPossiblySent() {
		return this.possiblySent;
	}

}
