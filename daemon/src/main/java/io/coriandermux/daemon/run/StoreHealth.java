package io.coriandermux.daemon.run;

import java.util.concurrent.atomic.AtomicBoolean;

import io.coriandermux.daemon.log.EventLog;
import io.coriandermux.daemon.log.LogEvent;
import io.coriandermux.store.StoreException;

/**
 * Tracks whether the store is available and logs each change. Thread-safe.
 */
public final class StoreHealth {

	private final AtomicBoolean available = new AtomicBoolean(true);

	private final EventLog log;

	/**
	 * Creates the state of a store that is taken as available until a call fails.
	 * @param log the log of the process
	 */
	public StoreHealth(EventLog log) {
		this.log = log;
	}

	/**
	 * Records that a call was answered.
	 */
	public void onResponse() {
		if (this.available.compareAndSet(false, true)) {
			this.log.record(LogEvent.STORE_AVAILABLE, "store", "the store is available again");
		}
	}

	/**
	 * Records that a call failed.
	 * @param ex the failure
	 */
	public void onCallFailed(StoreException ex) {
		if (this.available.compareAndSet(true, false)) {
			this.log.record(LogEvent.STORE_UNAVAILABLE, "store", String.valueOf(ex.getMessage()));
		}
	}

	/**
	 * Logs an unexpected exception or stack overflow in a background thread, such as one
	 * that calls the store. The thread continues, because without it the process would
	 * lose its announcement or receive no more changes while everything else of it works.
	 * @param thread name of the thread
	 * @param ex the exception
	 */
	public void onUnexpectedException(String thread, Throwable ex) {
		StackTraceElement[] trace = ex.getStackTrace();
		this.log.record(LogEvent.STORE_CALLER_FAILED, thread, ex + ((trace.length > 0) ? " at " + trace[0] : ""));
	}

	/**
	 * Returns whether the last call was answered.
	 * @return whether the store is available
	 */
	public boolean isAvailable() {
		return this.available.get();
	}

}
