package io.coriandermux.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

import io.coriandermux.core.estimate.EndpointSpeed;
import io.coriandermux.core.estimate.SpeedScale;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.outlier.EndpointHealth;
import io.coriandermux.core.run.Amounts;
import io.coriandermux.core.run.EndpointLoad;

/**
 * An endpoint as an entry sees it through its guard.
 */
final class PooledEndpoint {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final GuardId guard;

	private final Incarnation incarnation;

	private final EndpointSpeed speed;

	private final double preference;

	private final EndpointHealth health = new EndpointHealth();

	private final Deque<Order> unseen = new ArrayDeque<>();

	private EndpointLoad load;

	private Amounts free = Amounts.NONE;

	private long orders;

	private boolean linked = true;

	private boolean confirmed;

	private long confirmedNanos;

	private long avoidUntilNanos;

	private long loadedNanos;

	PooledEndpoint(GuardId guard, Incarnation incarnation, SpeedScale scale, double preference) {
		this.guard = guard;
		this.incarnation = incarnation;
		this.speed = new EndpointSpeed(scale);
		this.preference = preference;
	}

	GuardId guard() {
		return this.guard;
	}

	Incarnation incarnation() {
		return this.incarnation;
	}

	EndpointSpeed speed() {
		return this.speed;
	}

	double preference() {
		return this.preference;
	}

	EndpointHealth health() {
		return this.health;
	}

	EndpointLoad load() {
		return this.load;
	}

	/**
	 * Returns what is free after all orders of this entry, also those that the guard has
	 * not counted yet.
	 * @return the free resources
	 */
	Amounts free() {
		return this.free;
	}

	void loaded(EndpointLoad newLoad, long order, long nowNanos) {
		this.loadedNanos = nowNanos;
		this.load = newLoad;
		while (!this.unseen.isEmpty() && this.unseen.peek().number <= order) {
			this.unseen.remove();
		}
		this.free = newLoad.free();
		this.unseen.forEach((waiting) -> this.free = this.free.minus(waiting.needs));
	}

	long loadedNanos() {
		return this.loadedNanos;
	}

	long order(Amounts needs) {
		this.orders++;
		this.unseen.add(new Order(this.orders, needs));
		this.free = this.free.minus(needs);
		return this.orders;
	}

	/**
	 * Records that a ping of the guard was answered, which prolongs the session.
	 * @param nowNanos the current time on the monotonic clock
	 */
	void confirmed(long nowNanos) {
		this.confirmed = true;
		this.confirmedNanos = nowNanos;
	}

	/**
	 * Returns when the guard has certainly stopped the runs of a session that is not
	 * confirmed any more. An entry that was paused finds a guard lost just after it has
	 * answered the pings that waited, so the loss alone does not tell it.
	 * @param settings the times
	 * @param nowNanos the current time on the monotonic clock, when the guard is lost
	 * @return the time on the monotonic clock
	 */
	long settledNanos(DispatchSettings settings, long nowNanos) {
		long silent = this.confirmed ? this.confirmedNanos + settings.silenceMillis() * NANOS_PER_MILLI : nowNanos;
		return Math.max(silent, nowNanos) + settings.settleMillis() * NANOS_PER_MILLI;
	}

	void linked(boolean value) {
		this.linked = value;
	}

	void avoidUntil(long nanos) {
		this.avoidUntilNanos = Math.max(this.avoidUntilNanos, nanos);
	}

	boolean accepts(long nowNanos) {
		return this.linked && this.load != null && this.load.accepting() && nowNanos >= this.avoidUntilNanos
				&& this.health.accepts(nowNanos);
	}

	/**
	 * An order to start a run.
	 *
	 * @param number its number in the session
	 * @param needs the resources that it holds
	 */
	private record Order(long number, Amounts needs) {

	}

}
