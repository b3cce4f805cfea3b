package io.coriandermux.daemon.run;

import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.coriandermux.store.KvSnapshot;
import io.coriandermux.store.Store;
import io.coriandermux.store.StoreException;

/**
 * Watches the keys under a prefix on a thread of its own: reads them once, then waits for
 * changes.
 */
public final class StoreWatch implements AutoCloseable {

	/** Default for the longest wait of a watch call in milliseconds. */
	public static final long DEFAULT_WAIT_MILLIS = 10_000;

	private static final long RETRY_DELAY_MILLIS = 500;

	/**
	 * Delay between reads, so that changes in quick succession, such as the announcements
	 * of a fleet that has just started, are read together.
	 */
	private static final long COALESCING_DELAY_MILLIS = 40;

	private final Store store;

	private final long waitMillis;

	private final String prefix;

	private final Consumer<KvSnapshot> onChanged;

	private final Runnable onUnavailable;

	private final StoreHealth health;

	private final CountDownLatch closed = new CountDownLatch(1);

	private final Thread thread;

	/**
	 * Starts the thread.
	 * @param store the store
	 * @param prefix the prefix
	 * @param waitMillis longest wait of a watch call in milliseconds, which also limits
	 * the time until an unresponsive connection is detected
	 * @param onChanged receives each changed snapshot on the thread of the watch
	 * @param onUnavailable called on the thread of the watch after each failed call
	 * @param health receives the result of each call to the store
	 */
	public StoreWatch(Store store, String prefix, long waitMillis, Consumer<KvSnapshot> onChanged,
			Runnable onUnavailable, StoreHealth health) {
		this.store = store;
		this.waitMillis = waitMillis;
		this.prefix = prefix;
		this.onChanged = onChanged;
		this.onUnavailable = onUnavailable;
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
		Optional<KvSnapshot> latest = Optional.empty();
		while (this.closed.getCount() > 0) {
			try {
				KvSnapshot snapshot = latest.isEmpty() ? this.store.readPrefix(this.prefix)
						: this.store.watch(this.prefix, latest.get(), this.waitMillis);
				this.health.onResponse();
				boolean changed = latest.isEmpty() || !latest.get().entries().equals(snapshot.entries());
				latest = Optional.of(snapshot);
				if (changed) {
					this.onChanged.accept(snapshot);
					pause(COALESCING_DELAY_MILLIS);
				}
			}
			catch (StoreException ex) {
				if (this.closed.getCount() == 0) {
					return;
				}
				this.health.onCallFailed(ex);
				this.onUnavailable.run();
				pause(RETRY_DELAY_MILLIS);
			}
			catch (RuntimeException | StackOverflowError ex) {
				this.health.onUnexpectedException(this.thread.getName(), ex);
				pause(RETRY_DELAY_MILLIS);
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
