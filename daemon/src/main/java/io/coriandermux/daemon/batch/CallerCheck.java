package io.coriandermux.daemon.batch;

/**
 * Checks whether the callers that wait for an answer are still connected.
 */
@FunctionalInterface
public interface CallerCheck {

	/**
	 * Reports the callers that have disconnected before this call, then calls back.
	 * @param onChecked called on any thread after the disconnected callers were reported;
	 * not called if the port for callers is closed
	 */
	void check(Runnable onChecked);

}
