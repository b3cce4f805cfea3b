package io.coriandermux.soak;

import java.io.IOException;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.time.Clock;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;

import io.coriandermux.wire.SystemTime;
import io.coriandermux.wire.TimeSource;

/**
 * The thread that forwards the connections of all fault proxies of a run. With 15 entries
 * and 80 guards there are more than 1,200 connections, which needed two threads each.
 */
final class ProxyLoop implements AutoCloseable {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final TimeSource CLOCK = new SystemTime(Clock.systemUTC());

	private static final long LAG_INTERVAL_MILLIS = 50;

	private final Selector selector;

	private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();

	private final PriorityQueue<Timer> timers = new PriorityQueue<>(Comparator.comparingLong(Timer::dueMillis));

	private final Thread thread;

	private volatile long maxLagMillis;

	private volatile boolean closed;

	ProxyLoop() throws IOException {
		this.selector = Selector.open();
		this.thread = new Thread(this::run, "fault-proxies");
		this.thread.setDaemon(true);
		this.thread.start();
		measureLag();
	}

	/**
	 * Returns how late the thread was at most, by a timer that it executes regularly. A
	 * loop that is late delivers requests and ends late, which is a fault of the soak.
	 * @return the longest delay in milliseconds
	 */
	long maxLagMillis() {
		return this.maxLagMillis;
	}

	/**
	 * Measures the longest delay anew. Before the first request a delay has no effect.
	 */
	void forgetLag() {
		this.maxLagMillis = 0;
	}

	private void measureLag() {
		long dueMillis = nowMillis() + LAG_INTERVAL_MILLIS;
		executeAfter(LAG_INTERVAL_MILLIS, () -> {
			this.maxLagMillis = Math.max(this.maxLagMillis, nowMillis() - dueMillis);
			measureLag();
		});
	}

	static long nowMillis() {
		return CLOCK.now().nanos() / NANOS_PER_MILLI;
	}

	/**
	 * Executes work on the thread of the loop. May be called by any thread.
	 * @param work the work
	 */
	void execute(Runnable work) {
		this.posted.add(work);
		this.selector.wakeup();
	}

	void executeAfter(long millis, Runnable work) {
		long dueMillis = nowMillis() + millis;
		execute(() -> this.timers.add(new Timer(dueMillis, work)));
	}

	// Called on the thread of the loop.
	SelectionKey register(SelectableChannel channel, int operations, Consumer<SelectionKey> onReady)
			throws ClosedChannelException {
		return channel.register(this.selector, operations, onReady);
	}

	private void run() {
		while (!this.closed) {
			try {
				this.selector.select(timeoutMillis());
				// Before the channels, so that a fault applies to bytes that are sent
				// after it.
				for (Runnable work = this.posted.poll(); work != null; work = this.posted.poll()) {
					work.run();
				}
				this.selector.selectedKeys().forEach(this::onReady);
				this.selector.selectedKeys().clear();
				while (!this.timers.isEmpty() && this.timers.peek().dueMillis <= nowMillis()) {
					this.timers.poll().work.run();
				}
			}
			catch (IOException ex) {
				throw new IllegalStateException("the selector of the fault proxies failed", ex);
			}
		}
	}

	@SuppressWarnings("unchecked")
	private void onReady(SelectionKey key) {
		try {
			((Consumer<SelectionKey>) key.attachment()).accept(key);
		}
		catch (CancelledKeyException ex) {
			// The connection was closed by the previous event of this round.
			key.cancel();
		}
	}

	private long timeoutMillis() {
		if (!this.posted.isEmpty()) {
			return 1;
		}
		return this.timers.isEmpty() ? 0 : Math.max(1, this.timers.peek().dueMillis - nowMillis());
	}

	@Override
	public void close() throws IOException {
		this.closed = true;
		this.selector.wakeup();
		try {
			this.thread.join(1_000);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		for (SelectionKey key : this.selector.keys()) {
			key.channel().close();
		}
		this.selector.close();
	}

	private record Timer(long dueMillis, Runnable work) {
	}

}
