package io.coriandermux.daemon.run;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;

/**
 * A thread that carries out blocking work in order, fed by a bounded queue.
 */
public final class Worker implements AutoCloseable {

	private static final int QUEUE_SIZE = 4096;

	private static final long CLOSE_WAIT_MILLIS = 5000;

	private final BlockingQueue<Runnable> queue = new ArrayBlockingQueue<>(QUEUE_SIZE);

	private final Thread thread;

	private volatile boolean running = true;

	/**
	 * Starts the thread.
	 * @param name its name
	 */
	public Worker(String name) {
		this.thread = new Thread(this::run, name);
		this.thread.setDaemon(true);
		this.thread.start();
	}

	/**
	 * Hands over work.
	 * @param work the work
	 * @return whether it was taken; not if the queue is full
	 */
	public boolean offer(Runnable work) {
		return this.queue.offer(work);
	}

	@Override
	public void close() {
		this.running = false;
		this.thread.interrupt();
		try {
			this.thread.join(CLOSE_WAIT_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void run() {
		while (this.running) {
			try {
				this.queue.take().run();
			}
			catch (InterruptedException ex) {
				// Only close interrupts; the loop checks whether it was called.
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

}
