package io.coriandermux.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

import io.coriandermux.core.estimate.EndpointSpeed;
import io.coriandermux.core.estimate.SpeedBaseline;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.outlier.EndpointHealth;
import io.coriandermux.core.run.EndpointLoad;
import io.coriandermux.core.run.ResourceAmounts;

/**
 * An entry's state of an endpoint, as reported by its guard.
 */
final class PooledEndpoint {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final GuardId guard;

	private final Incarnation incarnation;

	private final EndpointSpeed speed;

	private final double preference;

	private final EndpointHealth health = new EndpointHealth();

	private final Deque<StartOrder> uncountedOrders = new ArrayDeque<>();

	private EndpointLoad load;

	private ResourceAmounts free = ResourceAmounts.NONE;

	private long lastOrder;

	private long confirmedOrder;

	private boolean connected = true;

	private boolean confirmed;

	private long confirmedNanos;

	private long backOffUntilNanos;

	private long loadUpdatedNanos;

	PooledEndpoint(GuardId guard, Incarnation incarnation, SpeedBaseline baseline, double preference) {
		this.guard = guard;
		this.incarnation = incarnation;
		this.speed = new EndpointSpeed(baseline);
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
	 * Returns the free resources after all start orders of this entry, including those
	 * that the latest report of the guard does not count yet.
	 * @return the free resources
	 */
	ResourceAmounts free() {
		return this.free;
	}

	void updateLoad(EndpointLoad newLoad, long countedOrder, long nowNanos) {
		this.loadUpdatedNanos = nowNanos;
		this.load = newLoad;
		// The guard may have sent the load to the former incarnation of this entry.
		this.confirmedOrder = Math.max(this.confirmedOrder, Math.min(countedOrder, this.lastOrder));
		while (!this.uncountedOrders.isEmpty() && this.uncountedOrders.peek().number <= countedOrder) {
			this.uncountedOrders.remove();
		}
		this.free = newLoad.free();
		this.uncountedOrders.forEach((order) -> this.free = this.free.minus(order.needs));
	}

	long loadUpdatedNanos() {
		return this.loadUpdatedNanos;
	}

	long addOrder(ResourceAmounts needs) {
		this.lastOrder++;
		this.uncountedOrders.add(new StartOrder(this.lastOrder, needs));
		this.free = this.free.minus(needs);
		return this.lastOrder;
	}

	/**
	 * Records that a ping of the guard is acknowledged, which prolongs the session.
	 * @param nowNanos the current time on the monotonic clock
	 */
	void onSessionConfirmed(long nowNanos) {
		this.confirmed = true;
		this.confirmedNanos = nowNanos;
	}

	/**
	 * Returns whether the run of an order is known to have started or to have ended. The
	 * endpoint may carry out another order late, also without its guard.
	 * @param order number of the order
	 * @return whether it is
	 */
	boolean isConfirmed(long order) {
		return order <= this.confirmedOrder;
	}

	/**
	 * Returns the time at which a lost guard has certainly stopped the runs of its
	 * session. The time of the loss alone is not sufficient: an entry that resumes after
	 * a pause may acknowledge queued pings, which prolongs the session, just before it
	 * detects the loss.
	 * @param settings the timeouts
	 * @param nowNanos time on the monotonic clock at which the loss is detected
	 * @return the time on the monotonic clock
	 */
	long certainEndNanos(DispatchSettings settings, long nowNanos) {
		long lossNanos = this.confirmed ? this.confirmedNanos + settings.guardTimeoutMillis() * NANOS_PER_MILLI
				: nowNanos;
		return Math.max(lossNanos, nowNanos) + settings.runEndMillis() * NANOS_PER_MILLI;
	}

	void setConnected(boolean value) {
		this.connected = value;
	}

	void backOffUntil(long nanos) {
		this.backOffUntilNanos = Math.max(this.backOffUntilNanos, nanos);
	}

	boolean accepts(long nowNanos) {
		return this.connected && this.load != null && this.load.accepting() && nowNanos >= this.backOffUntilNanos
				&& this.health.canAcceptTask(nowNanos);
	}

	/**
	 * An order to start a run that the guard's reports do not count yet.
	 *
	 * @param number number of the order in the session
	 * @param needs the resources that the run holds
	 */
	private record StartOrder(long number, ResourceAmounts needs) {

	}

}
