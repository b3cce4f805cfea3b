package io.coriandermux.daemon.run;

/**
 * A running process, which performs input and output around a pure decision core.
 */
public interface Shell extends AutoCloseable {

	/**
	 * Returns the port for links.
	 * @return the port
	 */
	int peerPort();

	/**
	 * Returns the port for operators.
	 * @return the port
	 */
	int operatorsPort();

	/**
	 * Waits until a graceful shutdown is requested or the decision loop fails.
	 * @throws InterruptedException if the thread is interrupted
	 */
	void awaitDrainRequestOrFailure() throws InterruptedException;

	/**
	 * Returns whether an unexpected exception has ended the decision loop.
	 * @return whether the process has failed
	 */
	boolean hasFailed();

	/**
	 * Requests a graceful shutdown without waiting for it.
	 */
	void requestDrain();

	/**
	 * Handles a request to reload the settings. Settings that require a restart keep
	 * their values.
	 */
	default void reload() {
	}

	/**
	 * Shuts down gracefully: accepts no new work and waits until the work in progress has
	 * finished.
	 * @return whether everything finished within the time limit
	 */
	boolean drain();

	/**
	 * Closes all ports and stops all threads.
	 */
	@Override
	void close();

}
