package io.coriandermux.daemon.run;

import java.lang.invoke.VarHandle;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import io.coriandermux.daemon.log.EventLog;
import io.coriandermux.daemon.log.LogEvent;
import io.coriandermux.wire.HostedLoop;
import io.coriandermux.wire.LinkLoop;
import io.coriandermux.wire.TimeSource;
import org.jctools.queues.MpscArrayQueue;

/**
 * The decisions of a process, fed by a bounded ring. They run on a thread of their own or
 * on the thread of the links. A fault of the program ends them, because decisions after a
 * half-made one could break a guarantee.
 */
public final class DecisionLoop implements HostedLoop, AutoCloseable {

	/** Size of the ring. */
	public static final int RING_SIZE = 4096;

	/** For decisions that leave nothing to be done after the work that waited. */
	public static final Runnable NOTHING_TO_SETTLE = () -> {
	};

	/**
	 * Each wake-up costs processor time also when idle; waits and time limits are far
	 * longer than 20 ms.
	 */
	private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	/**
	 * Without work the decisions only look after time limits of 150 ms and more. On a
	 * fleet of mostly idle guards the ticks are a large part of the processor time.
	 */
	private static final long IDLE_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

	private static final long RING_FULL_PARK_NANOS = 50_000;

	private static final int BATCH = 256;

	private static final long CLOSE_WAIT_MILLIS = 5000;

	private final MpscArrayQueue<Runnable> ring = new MpscArrayQueue<>(RING_SIZE);

	private final Runnable settle;

	private final Runnable tick;

	private final TimeSource time;

	private final EventLog log;

	private final Runnable onFailure;

	private final String name;

	private volatile Thread thread;

	private volatile LinkLoop host;

	private volatile boolean failed;

	private volatile boolean running = true;

	private volatile boolean parked;

	private long tickedNanos;

	/** Whether there was work since the last tick. */
	private boolean worked;

	/**
	 * Creates a loop; {@link #start} or {@link #startOn} begins it.
	 * @param name name of the decisions and of their thread
	 * @param settle called after the work that waited has run, for what need not be done
	 * for each piece of it
	 * @param tick called every 20 ms while there is work, less often without
	 * @param time the clock of the process
	 * @param log receives a fault of the program
	 * @param onFailure called after a fault of the program has ended the loop
	 */
	public DecisionLoop(String name, Runnable settle, Runnable tick, TimeSource time, EventLog log,
			Runnable onFailure) {
		this.name = name;
		this.settle = settle;
		this.tick = tick;
		this.time = time;
		this.log = log;
		this.onFailure = onFailure;
		this.tickedNanos = time.now().nanos();
	}

	/**
	 * Starts a thread for the decisions.
	 */
	public void start() {
		Thread own = new Thread(this::run, this.name);
		own.setDaemon(true);
		this.thread = own;
		own.start();
	}

	/**
	 * Runs the decisions on the thread of the links. Most of their work is messages in
	 * and messages out, and each step from one thread to the other costs more than the
	 * work.
	 * @param links the links, not started
	 */
	public void startOn(LinkLoop links) {
		this.host = links;
		links.host(this);
	}

	/**
	 * Hands over work unless the ring is full.
	 * @param work the work
	 * @return whether it was taken
	 */
	public boolean offer(Runnable work) {
		if (!this.running || !this.ring.offer(work)) {
			return false;
		}
		// The ring publishes with an ordered store only. Without the fence the flag could
		// be read before the store is visible, and the thread would sleep until the next
		// tick.
		VarHandle.fullFence();
		if (this.host != null) {
			this.host.wakeUp();
		}
		else if (this.parked) {
			LockSupport.unpark(this.thread);
		}
		return true;
	}

	/**
	 * Hands over work and waits while the ring is full. Work is dropped when the loop has
	 * ended. Not for the link thread, which must not wait.
	 * @param work the work
	 */
	public void put(Runnable work) {
		while (!offer(work) && this.running) {
			LockSupport.parkNanos(RING_FULL_PARK_NANOS);
		}
	}

	/**
	 * Returns how many entries wait in the ring.
	 * @return the number
	 */
	public int depth() {
		return this.ring.size();
	}

	/**
	 * Returns whether a fault of the program has ended the loop.
	 * @return whether it has
	 */
	public boolean hasFailed() {
		return this.failed;
	}

	@Override
	public void close() {
		this.running = false;
		Thread own = this.thread;
		if (own == null) {
			return;
		}
		LockSupport.unpark(own);
		try {
			own.join(CLOSE_WAIT_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void run() {
		while (this.running) {
			long waitNanos = pass();
			if (waitNanos > 0) {
				this.parked = true;
				if (this.ring.isEmpty() && this.running) {
					LockSupport.parkNanos(waitNanos);
				}
				this.parked = false;
			}
		}
	}

	@Override
	public long pass() {
		if (!this.running) {
			return Long.MAX_VALUE;
		}
		try {
			return work();
		}
		catch (RuntimeException ex) {
			this.running = false;
			StackTraceElement[] trace = ex.getStackTrace();
			this.log.record(LogEvent.DECISION_FAILED, this.name, ex + ((trace.length > 0) ? " at " + trace[0] : ""));
			this.failed = true;
			this.onFailure.run();
			return Long.MAX_VALUE;
		}
	}

	private long work() {
		int count = this.ring.drain(Runnable::run, BATCH);
		if (count > 0) {
			this.worked = true;
			this.settle.run();
		}
		long now = this.time.now().nanos();
		long tickNanos = this.worked ? TICK_NANOS : IDLE_TICK_NANOS;
		if (now - this.tickedNanos >= tickNanos) {
			this.tickedNanos = now;
			this.worked = false;
			this.tick.run();
			return 0;
		}
		return (count > 0) ? 0 : tickNanos - (now - this.tickedNanos);
	}

	@Override
	public boolean isWorkWaiting() {
		return this.running && !this.ring.isEmpty();
	}

}
