package io.coriandermux.wire;

/**
 * Work that runs on the thread of the links, between reading and writing.
 */
public interface HostedLoop {

	/**
	 * Does the work that waits, up to a bound.
	 * @return time in nanoseconds after which to call again without new work, 0 if there
	 * may be more work now
	 */
	long pass();

	/**
	 * Returns whether work has been handed over that has not run yet.
	 * @return whether some waits
	 */
	boolean isWorkWaiting();

}
