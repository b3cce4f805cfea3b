package io.coriandermux.core.lease;

import io.coriandermux.core.id.Incarnation;

/**
 * Session of an entry at a guard. It expires when the entry stops confirming the guard's
 * pings.
 */
final class EntrySession {

	private final Incarnation incarnation;

	private long confirmedNanos;

	private long lastOrder;

	private boolean expired = true;

	private boolean confirmationRequired;

	private long confirmationRequiredNanos;

	private boolean loadSent;

	private long countedOrder;

	/**
	 * Creates a session that is not confirmed yet. The time at which the guard notices a
	 * connection says nothing about when the entry has sent its requests.
	 * @param incarnation incarnation of the entry
	 * @param confirmedNanos time on the monotonic clock as of which the session has
	 * expired
	 */
	EntrySession(Incarnation incarnation, long confirmedNanos) {
		this.incarnation = incarnation;
		this.confirmedNanos = confirmedNanos;
	}

	Incarnation incarnation() {
		return this.incarnation;
	}

	long confirmedNanos() {
		return this.confirmedNanos;
	}

	void confirm(long pingNanos) {
		if (this.confirmationRequired && pingNanos - this.confirmationRequiredNanos <= 0) {
			return;
		}
		this.confirmationRequired = false;
		this.confirmedNanos = Math.max(this.confirmedNanos, pingNanos);
		this.expired = false;
	}

	/**
	 * Requires the confirmation of a ping with a later clock reading. Earlier pings do
	 * not count, because the monotonic clock did not advance during a suspension.
	 * @param atMostNanos latest time up to which the session counts as confirmed
	 * @param nowNanos the current time on the monotonic clock
	 */
	void requireConfirmation(long atMostNanos, long nowNanos) {
		this.confirmedNanos = Math.min(this.confirmedNanos, atMostNanos);
		this.confirmationRequired = true;
		this.confirmationRequiredNanos = nowNanos;
	}

	boolean isConfirmationRequired() {
		return this.confirmationRequired;
	}

	/**
	 * Returns whether the entry may start runs.
	 * @return whether the session is confirmed and has not expired
	 */
	boolean isUsable() {
		return !this.expired && !this.confirmationRequired;
	}

	boolean isExpired() {
		return this.expired;
	}

	void expire() {
		this.expired = true;
	}

	/**
	 * Returns the highest order number that was received from the entry.
	 * @return the number, 0 before the first order
	 */
	long lastOrder() {
		return this.lastOrder;
	}

	void recordOrder(long number) {
		this.lastOrder = Math.max(this.lastOrder, number);
	}

	/**
	 * Returns whether the current load of the endpoint was sent to the entry.
	 * @return whether it was sent
	 */
	boolean isLoadSent() {
		return this.loadSent;
	}

	void setLoadSent(boolean value) {
		this.loadSent = value;
	}

	/**
	 * Returns the highest order number that the last load sent to the entry accounts for.
	 * @return the number, 0 before the first load
	 */
	long countedOrder() {
		return this.countedOrder;
	}

	void setCountedOrder(long number) {
		this.countedOrder = number;
	}

}
