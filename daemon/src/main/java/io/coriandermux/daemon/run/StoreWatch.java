package io.coriandermux.daemon.run;

import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.coriandermux.store.KvSnapshot;
import io.coriandermux.store.Store;
import io.coriandermux.store.StoreException;

/**
 * A thread that follows the keys under a prefix: it reads them once, then waits for
 * changes.
 */
public final class StoreWatch implements AutoCloseable {

	/** Usual longest wait of a watch in milliseconds. */
	public static final long WAIT_MILLIS = 10_000;

	private static final long RETRY_MILLIS = 500;

	/**
	 * Changes that come in quick succession, such as the announcements of a fleet that
	 * has just started, are read together.
	 */
	private static final long SETTLE_MILLIS = 40;

	private final Store store;

	private final long waitMillis;

	private final String prefix;

	private final Consumer<KvSnapshot> receiver;

	private final Runnable unavailable;

	private final StoreHealth health;

	private final CountDownLatch closed = new CountDownLatch(1);

	private final Thread thread;

	/**
	 * Starts the thread.
	 * @param store the store
	 * @param prefix the prefix
	 * @param waitMillis longest wait of a watch in milliseconds; a connection that has
	 * gone silent is noticed after it
	 * @param receiver receives each snapshot on the thread
	 * @param unavailable called on the thread after each failed call
	 * @param health learns whether the store answers
	 */
	public StoreWatch(Store store, String prefix, long waitMillis, Consumer<KvSnapshot> receiver, Runnable unavailable,
			StoreHealth health) {
		this.store = store;
		this.waitMillis = waitMillis;
		this.prefix = prefix;
		this.receiver = receiver;
		this.unavailable = unavailable;
		this.health = health;
		this.thread = new Thread(this::run, "watch " + prefix);
		this.thread.setDaemon(true);
		this.thread.start();
	}

	@Override
	public void close() {
		this.closed.countDown();
		this.thread.interrupt();
	}

	private void run() {
		Optional<KvSnapshot> known = Optional.empty();
		while (this.closed.getCount() > 0) {
			try {
				KvSnapshot snapshot = known.isEmpty() ? this.store.readPrefix(this.prefix)
						: this.store.watch(this.prefix, known.get(), this.waitMillis);
				this.health.answered();
				boolean changed = known.isEmpty() || !known.get().entries().equals(snapshot.entries());
				known = Optional.of(snapshot);
				if (changed) {
					this.receiver.accept(snapshot);
					pause(SETTLE_MILLIS);
				}
			}
			catch (StoreException ex) {
				if (this.closed.getCount() == 0) {
					return;
				}
				this.health.failed(ex);
				this.unavailable.run();
				pause(RETRY_MILLIS);
			}
			catch (RuntimeException ex) {
				this.health.failed(this.thread.getName(), ex);
				pause(RETRY_MILLIS);
			}
		}
	}

	private void pause(long millis) {
		try {
			this.closed.await(millis, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
