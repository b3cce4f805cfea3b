package io.coriandermux.proof.simulation;

import java.util.ArrayDeque;
import java.util.Deque;

import io.coriandermux.core.id.Moment;
import io.coriandermux.core.message.Message;
import io.coriandermux.proof.journal.ProcessState;
import io.coriandermux.proof.journal.ProcessStateChanged;

/**
 * A process with its own clock. While it is paused, its input and its pending effects are
 * deferred; its clock advances.
 */
abstract class SimulatedProcess {

	/** Wall-clock time at the start of a run: 2026-01-01T00:00:00Z. */
	static final long WALL_START_MILLIS = 1_767_225_600_000L;

	/**
	 * Largest offset from the true time: half of the skew allowed between two processes.
	 */
	private static final long MAX_CLOCK_OFFSET_MILLIS = 900;

	private final Simulation simulation;

	private final String name;

	private final long incarnation;

	private final long clockOffsetNanos;

	private final long wallClockOffsetMillis;

	private final Deque<Runnable> deferred = new ArrayDeque<>();

	private boolean dead;

	private long pausedUntil;

	SimulatedProcess(Simulation simulation, String name, long incarnation) {
		this.simulation = simulation;
		this.name = name;
		this.incarnation = incarnation;
		this.clockOffsetNanos = simulation.clockOffsetNanos(name);
		this.wallClockOffsetMillis = simulation.random()
			.nextLong(-MAX_CLOCK_OFFSET_MILLIS, MAX_CLOCK_OFFSET_MILLIS + 1);
		recordState(ProcessState.UP);
	}

	// Handles a message from an incarnation of the peer at the other end of a link.
	abstract void onMessage(Link link, long senderIncarnation, Message message);

	// Handles the establishment of a link of this process.
	abstract void onConnected(Link link, SimulatedProcess peer);

	// Announces the process in the store, reads the store and starts the timers.
	abstract void start();

	Simulation simulation() {
		return this.simulation;
	}

	String name() {
		return this.name;
	}

	long incarnation() {
		return this.incarnation;
	}

	Moment moment() {
		long now = this.simulation.clock().now();
		return new Moment(this.clockOffsetNanos + now,
				WALL_START_MILLIS + now / SimulatedClock.NANOS_PER_MILLI + this.wallClockOffsetMillis);
	}

	boolean isDead() {
		return this.dead;
	}

	boolean isPaused() {
		return this.pausedUntil > this.simulation.clock().now();
	}

	boolean isResponsive() {
		return !this.dead && !isPaused() && this.deferred.isEmpty();
	}

	// Runs work, or defers it while the process is paused; a dead process drops it.
	void deliver(Runnable work) {
		if (this.dead) {
			return;
		}
		if (isPaused() || !this.deferred.isEmpty()) {
			this.deferred.add(work);
			return;
		}
		work.run();
	}

	void pause(long nanos) {
		if (this.dead) {
			return;
		}
		recordState(ProcessState.PAUSED);
		this.pausedUntil = Math.max(this.pausedUntil, this.simulation.clock().now() + nanos);
		this.simulation.clock().scheduleAt(this.pausedUntil, this::resume);
	}

	private void resume() {
		if (this.dead || isPaused()) {
			return;
		}
		recordState(ProcessState.RESUMED);
		Deque<Runnable> pending = new ArrayDeque<>(this.deferred);
		this.deferred.clear();
		while (!pending.isEmpty()) {
			if (this.dead) {
				return;
			}
			if (isPaused()) {
				this.deferred.addAll(pending);
				return;
			}
			pending.poll().run();
		}
	}

	void kill() {
		if (!this.dead) {
			this.dead = true;
			this.deferred.clear();
			recordState(ProcessState.DOWN);
		}
	}

	void stop() {
		if (!this.dead) {
			this.dead = true;
			this.deferred.clear();
			recordState(ProcessState.STOPPED);
		}
	}

	final void recordState(ProcessState state) {
		this.simulation.journal()
			.add(new ProcessStateChanged(this.simulation.clock().now(), this.name, this.incarnation, state));
	}

	// Runs work at an interval until the process ends; skips it while the process is
	// paused.
	void scheduleEvery(long intervalNanos, Runnable work) {
		if (this.dead) {
			return;
		}
		this.simulation.clock().scheduleAfter(intervalNanos, () -> {
			if (!this.dead) {
				if (!isPaused()) {
					deliver(work);
				}
				scheduleEvery(intervalNanos, work);
			}
		});
	}

}
