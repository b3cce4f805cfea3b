package io.coriandermux.core.outlier;

/**
 * Failure rate of an endpoint and its ejection state.
 */
public final class EndpointHealth {

	/** Weight of a new observation. */
	private static final double OBSERVATION_WEIGHT = 0.1;

	private double failureRate;

	private long observations;

	private boolean ejected;

	private long probeAtNanos;

	private long backoffNanos;

	private int probeSuccesses;

	private boolean probeActive;

	/**
	 * Returns the moving average of the failure rate.
	 * @return the rate, from 0 to 1
	 */
	public double failureRate() {
		return this.failureRate;
	}

	/**
	 * Returns the number of tasks that have ended since the endpoint was last readmitted.
	 * @return the number
	 */
	public long observations() {
		return this.observations;
	}

	/**
	 * Returns whether the endpoint is ejected.
	 * @return whether the endpoint is ejected
	 */
	public boolean isEjected() {
		return this.ejected;
	}

	/**
	 * Returns whether a task may be placed on the endpoint.
	 * @param nowNanos the current time on the monotonic clock
	 * @return whether the endpoint is not ejected, or a probe is due
	 */
	public boolean canAcceptTask(long nowNanos) {
		return !this.ejected || (!this.probeActive && nowNanos >= this.probeAtNanos);
	}

	/**
	 * Returns when the next probe of an ejected endpoint is due.
	 * @return the time on the monotonic clock in nanoseconds, {@code Long.MAX_VALUE}
	 * while a probe is active
	 */
	public long probeDueNanos() {
		return this.probeActive ? Long.MAX_VALUE : this.probeAtNanos;
	}

	/**
	 * Records that a task was placed; on an ejected endpoint the task is a probe.
	 */
	public void onTaskPlaced() {
		this.probeActive = this.ejected;
	}

	/**
	 * Records that the last placed task was withdrawn without a result.
	 */
	public void onTaskWithdrawn() {
		this.probeActive = false;
	}

	void recordResult(boolean success) {
		this.observations++;
		this.failureRate += OBSERVATION_WEIGHT * ((success ? 0 : 1) - this.failureRate);
	}

	void eject(long nowNanos, long backoff) {
		this.ejected = true;
		this.probeActive = false;
		this.probeSuccesses = 0;
		this.backoffNanos = backoff;
		this.probeAtNanos = nowNanos + backoff;
	}

	void readmit() {
		this.ejected = false;
		this.probeActive = false;
		this.failureRate = 0;
		this.observations = 0;
	}

	int recordProbeSuccess() {
		this.probeActive = false;
		this.probeSuccesses++;
		return this.probeSuccesses;
	}

	long backoffNanos() {
		return this.backoffNanos;
	}

}
