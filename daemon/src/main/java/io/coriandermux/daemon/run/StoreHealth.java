package io.coriandermux.daemon.run;

import java.util.concurrent.atomic.AtomicBoolean;

import io.coriandermux.daemon.log.EventLog;
import io.coriandermux.daemon.log.LogEvent;
import io.coriandermux.store.StoreException;

/**
 * Tells when the store stops and begins to answer. May be used by all threads.
 */
public final class StoreHealth {

	private final AtomicBoolean available = new AtomicBoolean(true);

	private final EventLog log;

	/**
	 * Creates the state of a store that is expected to answer.
	 * @param log receives the changes
	 */
	public StoreHealth(EventLog log) {
		this.log = log;
	}

	/**
	 * Notes an answer.
	 */
	public void answered() {
		if (this.available.compareAndSet(false, true)) {
			this.log.record(LogEvent.STORE_AVAILABLE, "store", "the store answers again");
		}
	}

	/**
	 * Notes a failed call.
	 * @param ex the failure
	 */
	public void failed(StoreException ex) {
		if (this.available.compareAndSet(true, false)) {
			this.log.record(LogEvent.STORE_UNAVAILABLE, "store", String.valueOf(ex.getMessage()));
		}
	}

	/**
	 * Notes a fault of the program in a thread that calls the store. The thread goes on,
	 * because a process without it would lose its announcement, or learn nothing any
	 * more, while everything else of it works.
	 * @param thread what the thread does
	 * @param ex the fault
	 */
	public void failed(String thread, RuntimeException ex) {
		StackTraceElement[] trace = ex.getStackTrace();
		this.log.record(LogEvent.STORE_CALLER_FAILED, thread, ex + ((trace.length > 0) ? " at " + trace[0] : ""));
	}

	/**
	 * Returns whether the last call was answered.
	 * @return whether it was
	 */
	public boolean available() {
		return this.available.get();
	}

}
