package io.coriandermux.core.dispatch;

/**
 * Answer to a caller's request to run a batch.
 *
 * @param verdict the result of the request
 * @param reason human-readable reason, empty on success
 * @param retryAfterMillis time after which the caller may retry, in milliseconds, 0 if a
 * retry does not help or is not needed
 */
public record BatchAnswer(BatchVerdict verdict, String reason, long retryAfterMillis) {

	/**
	 * Creates an answer without a retry time.
	 * @param verdict the result of the request
	 * @param reason human-readable reason
	 * @return the answer
	 */
	public static BatchAnswer of(BatchVerdict verdict, String reason) {
		return new BatchAnswer(verdict, reason, 0);
	}

}
