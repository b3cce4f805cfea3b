package io.coriandermux.daemon.run;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;

/**
 * A thread that executes blocking work in order of submission from a bounded queue.
 */
public final class Worker implements AutoCloseable {

	private static final int QUEUE_CAPACITY = 4096;

	private static final long CLOSE_TIMEOUT_MILLIS = 5000;

	private final BlockingQueue<Runnable> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);

	private final Thread thread;

	private final StoreHealth health;

	private volatile boolean running = true;

	/**
	 * Starts the thread.
	 * @param name name of the thread
	 * @param health logs an unexpected exception of a piece of work
	 */
	public Worker(String name, StoreHealth health) {
		this.health = health;
		this.thread = new Thread(this::run, name);
		this.thread.setDaemon(true);
		this.thread.start();
	}

	/**
	 * Submits work unless the queue is full.
	 * @param work the work
	 * @return whether the work was accepted
	 */
	public boolean offer(Runnable work) {
		return this.queue.offer(work);
	}

	@Override
	public void close() {
		this.running = false;
		this.thread.interrupt();
		try {
			this.thread.join(CLOSE_TIMEOUT_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void execute(Runnable work) {
		try {
			work.run();
		}
		catch (RuntimeException | StackOverflowError ex) {
			this.health.onUnexpectedException(this.thread.getName(), ex);
		}
	}

	private void run() {
		while (this.running) {
			try {
				execute(this.queue.take());
			}
			catch (InterruptedException ex) {
				// Only close() interrupts this thread.
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

}
