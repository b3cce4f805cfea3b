package io.coriandermux.daemon.run;

import java.lang.invoke.VarHandle;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import io.coriandermux.daemon.log.EventLog;
import io.coriandermux.daemon.log.LogEvent;
import io.coriandermux.wire.HostedLoop;
import io.coriandermux.wire.LinkEventLoop;
import io.coriandermux.wire.TimeSource;
import org.jctools.queues.MpscArrayQueue;

/**
 * Event loop that runs the state machine of a process, fed by a bounded queue. It runs on
 * a thread of its own or on the thread of the links. An unexpected exception ends the
 * loop, because a partly handled event may leave a state that breaks a guarantee.
 */
public final class DecisionLoop implements HostedLoop, AutoCloseable {

	/** Capacity of the queue. */
	public static final int QUEUE_CAPACITY = 4096;

	/** Action for loops that have nothing to do after a batch of work. */
	public static final Runnable NO_AFTER_BATCH_ACTION = () -> {
	};

	/**
	 * Interval of the ticks while there is work. Each wake-up costs processor time, and
	 * delays and time limits are much longer than 20 ms.
	 */
	private static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	/**
	 * Interval of the ticks without work, when only time limits of 150 ms and more have
	 * to be checked. In a fleet of mostly idle guards the ticks use a large part of the
	 * processor time.
	 */
	private static final long IDLE_TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

	/**
	 * Standstill that is logged. The sessions of an entry end 900 ms after their last
	 * confirmation, and a session without runs is confirmed every 500 ms.
	 */
	private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	private static final long QUEUE_FULL_PARK_NANOS = 50_000;

	private static final int MAX_BATCH_SIZE = 256;

	private static final long CLOSE_TIMEOUT_MILLIS = 5000;

	private final MpscArrayQueue<Runnable> queue = new MpscArrayQueue<>(QUEUE_CAPACITY);

	private final Runnable afterBatch;

	private final Runnable tick;

	private final TimeSource time;

	private final EventLog log;

	private final Runnable onFailure;

	private final String name;

	private volatile Thread thread;

	private volatile LinkEventLoop hostLoop;

	private volatile boolean failed;

	private volatile boolean running = true;

	private volatile boolean parked;

	private long lastTickNanos;

	private boolean workedSinceTick;

	/**
	 * Creates a loop. {@link #start} or {@link #startOn} starts it.
	 * @param name name of the loop and of its thread
	 * @param afterBatch called after each batch of work, for actions that are needed only
	 * once per batch
	 * @param tick called every 20 ms while there is work, every 60 ms without
	 * @param time the clock of the process
	 * @param log receives an unexpected exception
	 * @param onFailure called after an unexpected exception has ended the loop
	 */
	public DecisionLoop(String name, Runnable afterBatch, Runnable tick, TimeSource time, EventLog log,
			Runnable onFailure) {
		this.name = name;
		this.afterBatch = afterBatch;
		this.tick = tick;
		this.time = time;
		this.log = log;
		this.onFailure = onFailure;
		this.lastTickNanos = time.now().nanos();
	}

	/**
	 * Starts the loop on a thread of its own.
	 */
	public void start() {
		this.lastTickNanos = this.time.now().nanos();
		Thread loopThread = new Thread(this::run, this.name);
		loopThread.setDaemon(true);
		this.thread = loopThread;
		loopThread.start();
	}

	/**
	 * Runs the loop on the thread of the links. Most work receives and sends messages,
	 * and handing a message from one thread to the other costs more than handling it.
	 * @param links the links, not started
	 */
	public void startOn(LinkEventLoop links) {
		this.lastTickNanos = this.time.now().nanos();
		this.hostLoop = links;
		links.attachLoop(this);
	}

	/**
	 * Submits work unless the queue is full or the loop has ended.
	 * @param work the work
	 * @return whether the work was accepted
	 */
	public boolean offer(Runnable work) {
		if (!this.running || !this.queue.offer(work)) {
			return false;
		}
		// The queue publishes with an ordered store only. Without the fence the flag
		// could be read before the store is visible, and the thread would sleep until
		// the next tick.
		VarHandle.fullFence();
		if (this.hostLoop != null) {
			this.hostLoop.wakeUp();
		}
		else if (this.parked) {
			LockSupport.unpark(this.thread);
		}
		return true;
	}

	/**
	 * Submits work and blocks while the queue is full. Work is dropped when the loop has
	 * ended. Must not be called on the link thread, which must not block.
	 * @param work the work
	 */
	public void put(Runnable work) {
		while (!offer(work) && this.running) {
			LockSupport.parkNanos(QUEUE_FULL_PARK_NANOS);
		}
	}

	/**
	 * Returns the number of queued pieces of work.
	 * @return the number
	 */
	public int depth() {
		return this.queue.size();
	}

	/**
	 * Returns whether an unexpected exception has ended the loop.
	 * @return whether the loop has failed
	 */
	public boolean hasFailed() {
		return this.failed;
	}

	@Override
	public void close() {
		this.running = false;
		Thread loopThread = this.thread;
		if (loopThread == null) {
			return;
		}
		LockSupport.unpark(loopThread);
		try {
			loopThread.join(CLOSE_TIMEOUT_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void run() {
		while (this.running) {
			long waitNanos = runOnce();
			if (waitNanos > 0) {
				this.parked = true;
				if (this.queue.isEmpty() && this.running) {
					LockSupport.parkNanos(waitNanos);
				}
				this.parked = false;
			}
		}
	}

	@Override
	public long runOnce() {
		if (!this.running) {
			return Long.MAX_VALUE;
		}
		try {
			return runBatch();
		}
		catch (RuntimeException | StackOverflowError ex) {
			// A stack overflow would end the thread but not the process, which would go
			// on without links and decisions.
			this.running = false;
			StackTraceElement[] trace = ex.getStackTrace();
			this.log.record(LogEvent.DECISION_FAILED, this.name, ex + ((trace.length > 0) ? " at " + trace[0] : ""));
			this.failed = true;
			this.onFailure.run();
			return Long.MAX_VALUE;
		}
	}

	private long runBatch() {
		reportStall(this.time.now().nanos() - this.lastTickNanos);
		int count = this.queue.drain(Runnable::run, MAX_BATCH_SIZE);
		if (count > 0) {
			this.workedSinceTick = true;
			this.afterBatch.run();
		}
		long now = this.time.now().nanos();
		long tickNanos = this.workedSinceTick ? TICK_INTERVAL_NANOS : IDLE_TICK_INTERVAL_NANOS;
		if (now - this.lastTickNanos >= tickNanos) {
			this.lastTickNanos = now;
			this.workedSinceTick = false;
			this.tick.run();
			return 0;
		}
		return (count > 0) ? 0 : tickNanos - (now - this.lastTickNanos);
	}

	// Reported before the queued work, whose decisions the standstill explains.
	private void reportStall(long sinceTickNanos) {
		if (sinceTickNanos >= STALL_NANOS) {
			this.log.record(LogEvent.DECISIONS_STALLED, this.name,
					"no periodic work for " + TimeUnit.NANOSECONDS.toMillis(sinceTickNanos) + " ms");
		}
	}

	@Override
	public boolean hasPendingWork() {
		return this.running && !this.queue.isEmpty();
	}

}
