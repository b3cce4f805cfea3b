package io.coriandermux.core.dispatch;

/**
 * Sends answers to callers.
 */
@FunctionalInterface
public interface CallerChannel {

	/**
	 * Sends an answer to a caller. An answer to a disconnected caller is dropped.
	 * @param caller the caller
	 * @param answer the answer
	 */
	void answer(CallerRef caller, BatchAnswer answer);

}
