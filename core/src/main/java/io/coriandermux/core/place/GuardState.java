package io.coriandermux.core.place;

import java.util.ArrayList;
import java.util.List;

import io.coriandermux.core.estimate.EndpointSpeed;
import io.coriandermux.core.estimate.SpeedBaseline;
import io.coriandermux.core.id.ZoneName;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.outlier.EndpointHealth;

/**
 * An entry's state of one guard: credits, this entry's tasks at the guard, and the
 * learned speed and health of the endpoint.
 */
public final class GuardState {

	/** Keeps the cost of a guard finite when all of its tasks fail. */
	private static final double MIN_SUCCESS_RATE = 0.05;

	private final GuardInfo info;

	private final long zonePenaltyNanos;

	private final EndpointSpeed speed;

	private final EndpointHealth health = new EndpointHealth();

	private final List<GuardRanking> rankings = new ArrayList<>();

	private int credits;

	private int started;

	private int startedLong;

	private boolean draining;

	/**
	 * Creates the state of a guard without credits.
	 * @param info the guard's announcement
	 * @param zone availability zone of the entry
	 * @param zoneChangeNanos additional cost of a guard in another zone, in nanoseconds
	 * @param baseline common scale of the endpoints' speeds
	 */
	public GuardState(GuardInfo info, ZoneName zone, long zoneChangeNanos, SpeedBaseline baseline) {
		this.info = info;
		this.speed = new EndpointSpeed(baseline);
		this.zonePenaltyNanos = info.zone().equals(zone) ? 0 : zoneChangeNanos;
	}

	/**
	 * Returns the guard's announcement.
	 * @return the announcement
	 */
	public GuardInfo info() {
		return this.info;
	}

	/**
	 * Returns the learned speed of the endpoint.
	 * @return the speed
	 */
	public EndpointSpeed speed() {
		return this.speed;
	}

	/**
	 * Returns the learned health of the endpoint.
	 * @return the health
	 */
	public EndpointHealth health() {
		return this.health;
	}

	/**
	 * Returns the rankings that contain this guard, one per pool.
	 * @return the rankings
	 */
	public List<GuardRanking> rankings() {
		return this.rankings;
	}

	/**
	 * Returns the number of unused credits.
	 * @return the number
	 */
	public int credits() {
		return this.credits;
	}

	/**
	 * Returns the number of this entry's tasks at the guard.
	 * @return the number
	 */
	public int startedCount() {
		return this.started;
	}

	/**
	 * Adds or removes credits.
	 * @param count number to add, negative to remove
	 */
	public void addCredits(int count) {
		this.credits += count;
	}

	/**
	 * Counts a task that has started or ended at this guard.
	 * @param count 1 for a start, -1 for an end
	 * @param longWork whether it counts as a long task
	 */
	public void addStarted(int count, boolean longWork) {
		this.started += count;
		if (longWork) {
			this.startedLong += count;
		}
	}

	/**
	 * Counts one running task as long, after it ran longer than predicted.
	 */
	public void markTaskAsLong() {
		this.startedLong++;
	}

	/**
	 * Stops the placement of tasks at this guard.
	 */
	public void startDraining() {
		this.draining = true;
	}

	/**
	 * Checks whether a task can be placed at this guard now.
	 * @param nowNanos the current time on the monotonic clock
	 * @return whether there is a credit, and the guard is neither draining nor ejected
	 */
	public boolean isUsable(long nowNanos) {
		return this.credits > 0 && !this.draining && this.health.canAcceptTask(nowNanos);
	}

	/**
	 * Checks whether the guard serves its pools.
	 * @return whether it is not draining
	 */
	public boolean isServing() {
		return !this.draining;
	}

	/**
	 * Checks whether this entry can start one more long task without using the slots
	 * reserved for short tasks.
	 * @param shortSlots slots of the endpoint that are reserved for short tasks
	 * @return whether a long task may start
	 */
	public boolean canStartLongTask(int shortSlots) {
		return this.startedLong < this.info.slots() - shortSlots;
	}

	/**
	 * Returns the number of this entry's long tasks at the guard.
	 * @return the number
	 */
	public int startedLongCount() {
		return this.startedLong;
	}

	/**
	 * Returns the cost of a task at this guard: its expected run time divided by the
	 * success rate, plus the additional cost of a guard in another availability zone.
	 * @param expectedNanos run time at an endpoint of average speed, in nanoseconds
	 * @return the cost in nanoseconds
	 */
	public double cost(double expectedNanos) {
		double successRate = Math.max(MIN_SUCCESS_RATE, 1 - this.health.failureRate());
		return expectedNanos * this.speed.slowness() / successRate + this.zonePenaltyNanos;
	}

}
