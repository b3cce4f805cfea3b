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
import io.coriandermux.store.StoreLeaseLapsedException;

/**
 * A thread that keeps the announcement of its process in the store: it writes it under a
 * lease, renews the lease, and writes it again if the lease has lapsed.
 */
public final class Announcer implements AutoCloseable {

	/** A lease is renewed three times in its life, so that two renewals may fail. */
	private static final int RENEWALS = 3;

	private static final long RETRY_MILLIS = 500;

	private static final long CLOSE_WAIT_MILLIS = 3000;

	private final Store store;

	private final String key;

	private final AtomicReference<String> value;

	private final long ttlMillis;

	private final Runnable announced;

	private final EventLog log;

	private final StoreHealth health;

	private final Semaphore wakeUps = new Semaphore(0);

	private volatile boolean closed;

	private final Thread thread;

	private final Consumer<String> former;

	private long revision;

	private String written;

	/**
	 * Creates the announcer; {@link #start} begins it.
	 * @param store the store
	 * @param announcement key and value; the revision is not used
	 * @param ttlMillis time to live of the lease in milliseconds
	 * @param former receives on the thread what an earlier incarnation announced, if that
	 * still stands
	 * @param announced called on the thread each time the announcement was written
	 * @param log receives what happens
	 * @param health learns whether the store answers
	 */
	public Announcer(Store store, KvEntry announcement, long ttlMillis, Consumer<String> former, Runnable announced,
			EventLog log, StoreHealth health) {
		this.store = store;
		this.key = announcement.key();
		this.value = new AtomicReference<>(announcement.value());
		this.ttlMillis = ttlMillis;
		this.former = former;
		this.announced = announced;
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
	 * Changes what is announced.
	 * @param changed the new value
	 */
	public void update(String changed) {
		this.value.set(changed);
		this.wakeUps.release();
	}

	/**
	 * Ends the renewals and leaves the announcement until its lease lapses, for a
	 * successor that starts before.
	 */
	public void stop() {
		this.closed = true;
		this.wakeUps.release();
	}

	/**
	 * Ends the renewals and removes the announcement if the store answers.
	 */
	@Override
	public void close() {
		stop();
		try {
			this.thread.join(CLOSE_WAIT_MILLIS);
			if (!this.thread.isAlive() && this.revision > 0) {
				this.store.delete(this.key, this.revision);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (StoreException ex) {
			this.health.failed(ex);
		}
	}

	private void run() {
		while (!this.closed) {
			try {
				long lease = announce();
				renew(lease);
			}
			catch (StoreLeaseLapsedException ex) {
				this.log.record(LogEvent.LEASE_LAPSED, this.key, String.valueOf(ex.getMessage()));
			}
			catch (StoreException ex) {
				this.health.failed(ex);
				pause(RETRY_MILLIS);
			}
			catch (RuntimeException ex) {
				this.health.failed(this.thread.getName(), ex);
				pause(RETRY_MILLIS);
			}
		}
	}

	private long announce() throws StoreException {
		Optional<KvEntry> standing = this.store.readPrefix(this.key).entry(this.key);
		if (this.revision == 0) {
			standing.map(KvEntry::value).ifPresent(this.former);
		}
		long lease = this.store.grantLease(this.ttlMillis);
		write(standing.map(KvEntry::revision).orElse(0L), lease);
		this.log.record(LogEvent.ANNOUNCED, this.key, "lease of " + this.ttlMillis + " ms");
		this.announced.run();
		return lease;
	}

	private void write(long expected, long lease) throws StoreException {
		String announced = this.value.get();
		this.revision = this.store.put(this.key, announced, expected, Optional.of(lease));
		this.written = announced;
		this.health.answered();
	}

	private void renew(long lease) throws StoreException {
		long waitMillis = this.ttlMillis / RENEWALS;
		while (!this.closed) {
			pause(waitMillis);
			try {
				if (!this.value.get().equals(this.written)) {
					write(this.revision, lease);
				}
				else if (!this.closed) {
					this.store.renewLease(lease);
				}
				this.health.answered();
				waitMillis = this.ttlMillis / RENEWALS;
			}
			catch (StoreLeaseLapsedException | StoreConflictException ex) {
				throw ex;
			}
			catch (StoreException ex) {
				this.health.failed(ex);
				waitMillis = Math.min(RETRY_MILLIS, this.ttlMillis / RENEWALS);
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
