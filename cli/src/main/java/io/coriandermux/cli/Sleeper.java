package io.coriandermux.cli;

/**
 * Waits for a given time; tests replace the wait.
 */
@FunctionalInterface
public interface Sleeper {

	/**
	 * Waits for the given time.
	 * @param millis the time in milliseconds
	 * @throws InterruptedException if the thread is interrupted
	 */
	void sleep(long millis) throws InterruptedException;

}
