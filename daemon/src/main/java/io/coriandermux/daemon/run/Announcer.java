package io.coriandermux.daemon.run;

import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import io.coriandermux.daemon.log.EventLog;
import io.coriandermux.daemon.log.LogEvent;
import io.coriandermux.store.KvEntry;
import io.coriandermux.store.Store;
import io.coriandermux.store.StoreConflictException;
import io.coriandermux.store.StoreException;
import io.coriandermux.store.StoreLeaseExpiredException;

/**
 * Maintains the announcement of its process in the store on a thread of its own: writes
 * it under a lease, renews the lease, and writes the announcement again if the lease has
 * expired.
 */
public final class Announcer implements AutoCloseable {

	/** Renewals per time to live of the lease, so that two renewals in a row can fail. */
	private static final int RENEWALS_PER_TTL = 3;

	private static final long RETRY_DELAY_MILLIS = 500;

	private static final long CLOSE_TIMEOUT_MILLIS = 3000;

	private final Store store;

	private final String key;

	private final AtomicReference<String> value;

	private final long ttlMillis;

	private final Runnable onAnnounced;

	private final EventLog log;

	private final StoreHealth health;

	private final Semaphore wakeUps = new Semaphore(0);

	private volatile boolean closed;

	private final Thread thread;

	private final Consumer<String> onEarlierValue;

	private long revision;

	private String writtenValue;

	/**
	 * Creates an announcer. {@link #start} starts its thread.
	 * @param store the store
	 * @param announcement key and value of the announcement; its revision is ignored
	 * @param ttlMillis time to live of the lease in milliseconds
	 * @param onEarlierValue receives the value that an earlier incarnation announced if
	 * it is still in the store; called on the thread of the announcer
	 * @param onAnnounced called on the thread of the announcer each time it has written
	 * the announcement under a new lease
	 * @param log the log of the process
	 * @param health receives the result of each call to the store
	 */
	public Announcer(Store store, KvEntry announcement, long ttlMillis, Consumer<String> onEarlierValue,
			Runnable onAnnounced, EventLog log, StoreHealth health) {
		this.store = store;
		this.key = announcement.key();
		this.value = new AtomicReference<>(announcement.value());
		this.ttlMillis = ttlMillis;
		this.onEarlierValue = onEarlierValue;
		this.onAnnounced = onAnnounced;
		this.log = log;
		this.health = health;
		this.thread = new Thread(this::run, "announcer");
		this.thread.setDaemon(true);
	}

	/**
	 * Starts the thread.
	 */
	public void start() {
		this.thread.start();
	}

	/**
	 * Changes the value of the announcement. It is written by the thread of the
	 * announcer.
	 * @param newValue the new value
	 */
	public void update(String newValue) {
		this.value.set(newValue);
		this.wakeUps.release();
	}

	/**
	 * Stops the renewals but keeps the announcement until its lease expires, so that the
	 * next incarnation can read it if it starts before then.
	 */
	public void stopRenewals() {
		this.closed = true;
		this.wakeUps.release();
	}

	/**
	 * Stops the renewals and deletes the announcement if the store is available.
	 */
	@Override
	public void close() {
		stopRenewals();
		try {
			this.thread.join(CLOSE_TIMEOUT_MILLIS);
			if (!this.thread.isAlive() && this.revision > 0) {
				this.store.delete(this.key, this.revision);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (StoreException ex) {
			this.health.onCallFailed(ex);
		}
	}

	private void run() {
		while (!this.closed) {
			try {
				long lease = announce();
				renew(lease);
			}
			catch (StoreLeaseExpiredException ex) {
				this.log.record(LogEvent.LEASE_LAPSED, this.key, String.valueOf(ex.getMessage()));
			}
			catch (StoreException ex) {
				this.health.onCallFailed(ex);
				pause(RETRY_DELAY_MILLIS);
			}
			catch (RuntimeException | StackOverflowError ex) {
				this.health.onUnexpectedException(this.thread.getName(), ex);
				pause(RETRY_DELAY_MILLIS);
			}
		}
	}

	private long announce() throws StoreException {
		Optional<KvEntry> stored = this.store.readPrefix(this.key).entry(this.key);
		if (this.revision == 0) {
			stored.map(KvEntry::value).ifPresent(this::reportEarlierValue);
		}
		long lease = this.store.grantLease(this.ttlMillis);
		write(stored.map(KvEntry::revision).orElse(0L), lease);
		this.log.record(LogEvent.ANNOUNCED, this.key, "lease of " + this.ttlMillis + " ms");
		this.onAnnounced.run();
		return lease;
	}

	// Another writer may have written the value. If an exception about it ended the call,
	// the process would never be announced.
	private void reportEarlierValue(String earlier) {
		try {
			this.onEarlierValue.accept(earlier);
		}
		catch (RuntimeException | StackOverflowError ex) {
			this.health.onUnexpectedException(this.thread.getName(), ex);
		}
	}

	private void write(long expectedRevision, long lease) throws StoreException {
		String newValue = this.value.get();
		this.revision = this.store.put(this.key, newValue, expectedRevision, Optional.of(lease));
		this.writtenValue = newValue;
		this.health.onResponse();
	}

	private void renew(long lease) throws StoreException {
		long waitMillis = this.ttlMillis / RENEWALS_PER_TTL;
		while (!this.closed) {
			pause(waitMillis);
			try {
				if (!this.value.get().equals(this.writtenValue)) {
					write(this.revision, lease);
				}
				// Writing a value under a lease does not renew the lease.
				if (!this.closed) {
					this.store.renewLease(lease);
				}
				this.health.onResponse();
				waitMillis = this.ttlMillis / RENEWALS_PER_TTL;
			}
			catch (StoreLeaseExpiredException | StoreConflictException ex) {
				throw ex;
			}
			catch (StoreException ex) {
				this.health.onCallFailed(ex);
				waitMillis = Math.min(RETRY_DELAY_MILLIS, this.ttlMillis / RENEWALS_PER_TTL);
			}
		}
	}

	private void pause(long millis) {
		try {
			if (this.wakeUps.tryAcquire(millis, TimeUnit.MILLISECONDS)) {
				this.wakeUps.drainPermits();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			this.closed = true;
		}
	}

}
