package io.coriandermux.core.model;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;

import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Moment;

/**
 * A process with one decision thread. It can be killed and started again, and it can
 * stand still between two events or within one: what it sends after that point is sent
 * when it continues, and events that arrive meanwhile are processed afterwards.
 */
abstract class ModelProcess {

	private static final long TICK_MILLIS = 20;

	private static final long WALL_CLOCK_MILLIS = 1_700_000_000_000L;

	private static final long MAX_CLOCK_OFFSET_MILLIS = 1_000_000;

	private final String name;

	private final ModelClock clock;

	private final ModelTrace trace;

	private final SplittableRandom random;

	private final Deque<Runnable> inbox = new ArrayDeque<>();

	private final Deque<Runnable> outbox = new ArrayDeque<>();

	private Incarnation incarnation;

	private long clockOffsetNanos;

	private long life;

	private boolean up;

	private boolean tickPending;

	private boolean inputPaused;

	private long pausedUntilNanos;

	private long inputPausedSinceNanos;

	private long ticksLateUntilNanos;

	private int sendsBeforePause = -1;

	private long nextPauseMillis;

	private boolean nextPauseWithInput;

	ModelProcess(String name, ModelClock clock, ModelTrace trace, SplittableRandom random) {
		this.name = name;
		this.clock = clock;
		this.trace = trace;
		this.random = random;
	}

	String name() {
		return this.name;
	}

	ModelClock clock() {
		return this.clock;
	}

	SplittableRandom random() {
		return this.random;
	}

	boolean isUp() {
		return this.up;
	}

	/**
	 * Returns a number that changes when the process is killed or started.
	 * @return the number
	 */
	long life() {
		return this.life;
	}

	Incarnation incarnation() {
		return this.incarnation;
	}

	boolean isPaused() {
		return this.clock.nanos() < this.pausedUntilNanos;
	}

	/**
	 * Returns whether the whole process stands still, so that it neither reads its
	 * connections nor sends heartbeats. A pause of the decision thread alone does not
	 * have this effect.
	 * @return whether it does
	 */
	boolean isInputPaused() {
		return this.inputPaused && isPaused();
	}

	/**
	 * Returns the time up to which everything that has arrived is known to have been
	 * read.
	 * @return the time on the clock of the model
	 */
	long readUntilNanos() {
		return isInputPaused() ? this.inputPausedSinceNanos : this.clock.nanos();
	}

	Moment now() {
		return new Moment(this.clock.nanos() + this.clockOffsetNanos,
				WALL_CLOCK_MILLIS + this.clock.nanos() / ModelClock.NANOS_PER_MILLI);
	}

	void log(String text) {
		this.trace.add(this.name, text);
	}

	void start() {
		this.life++;
		this.up = true;
		this.tickPending = false;
		this.pausedUntilNanos = 0;
		this.sendsBeforePause = -1;
		this.clockOffsetNanos = this.random.nextLong(MAX_CLOCK_OFFSET_MILLIS) * ModelClock.NANOS_PER_MILLI;
		this.incarnation = new Incarnation(now().epochMillis());
		log("FAULT starts, incarnation " + this.incarnation.value());
		onStart();
		long started = this.life;
		this.clock.after(this.random.nextLong(TICK_MILLIS * ModelClock.NANOS_PER_MILLI),
				() -> tickPeriodically(started));
	}

	void kill() {
		log("FAULT killed");
		this.life++;
		this.up = false;
		this.inbox.clear();
		this.outbox.clear();
		onKilled();
	}

	abstract void onStart();

	abstract void onKilled();

	abstract void tick();

	/**
	 * Processes an event on the decision thread.
	 * @param work the event
	 */
	void post(Runnable work) {
		if (this.up) {
			this.inbox.add(work);
			drain();
		}
	}

	/**
	 * Sends a message or an order as part of the processing of an event.
	 * @param output sends it
	 */
	void emit(Runnable output) {
		if (this.sendsBeforePause == 0) {
			this.sendsBeforePause = -1;
			pause(this.nextPauseMillis, this.nextPauseWithInput);
		}
		else if (this.sendsBeforePause > 0) {
			this.sendsBeforePause--;
		}
		if (isPaused()) {
			this.outbox.add(output);
		}
		else {
			output.run();
		}
	}

	/**
	 * Makes the process stand still just before it sends something.
	 * @param sends number of messages and orders that it sends before
	 * @param millis length of the pause in milliseconds
	 * @param withInput whether its connections are not served either
	 */
	void pauseBeforeSend(int sends, long millis, boolean withInput) {
		this.nextPauseWithInput = withInput;
		this.sendsBeforePause = sends;
		this.nextPauseMillis = millis;
	}

	/**
	 * Makes the process stand still from now.
	 * @param millis length of the pause in milliseconds
	 * @param withInput whether its connections are not served either
	 */
	void pause(long millis, boolean withInput) {
		log("FAULT stands still for " + millis + " ms" + (withInput ? "" : ", connections are served"));
		if (withInput && !isInputPaused()) {
			this.inputPausedSinceNanos = this.clock.nanos();
		}
		this.inputPaused = withInput;
		this.pausedUntilNanos = Math.max(this.pausedUntilNanos,
				this.clock.nanos() + millis * ModelClock.NANOS_PER_MILLI);
		long paused = this.life;
		this.clock.at(this.pausedUntilNanos, () -> resume(paused));
	}

	void delayTicks(long millis) {
		log("FAULT periodic work late by " + millis + " ms");
		this.ticksLateUntilNanos = this.clock.nanos() + millis * ModelClock.NANOS_PER_MILLI;
	}

	private void resume(long paused) {
		if (paused != this.life || isPaused()) {
			return;
		}
		while (!this.outbox.isEmpty()) {
			this.outbox.remove().run();
		}
		if (this.random.nextBoolean()) {
			this.inbox.addFirst(this::tick);
		}
		drain();
	}

	private void drain() {
		while (!this.inbox.isEmpty() && !isPaused()) {
			this.inbox.remove().run();
		}
	}

	private void tickPeriodically(long started) {
		if (started != this.life) {
			return;
		}
		if (!this.tickPending && this.clock.nanos() >= this.ticksLateUntilNanos) {
			this.tickPending = true;
			post(() -> {
				this.tickPending = false;
				tick();
			});
		}
		this.clock.afterMillis(TICK_MILLIS, () -> tickPeriodically(started));
	}

}
