package io.coriandermux.wire;

/**
 * Another loop that runs on the link thread, between the reads and the writes of the
 * links.
 */
public interface HostedLoop {

	/**
	 * Processes pending work, up to a limit per call.
	 * @return time in nanoseconds after which this must be called again even without new
	 * work, 0 if there may be more work now
	 */
	long runOnce();

	/**
	 * Returns whether submitted work has not been processed yet.
	 * @return whether work is pending
	 */
	boolean hasPendingWork();

}
