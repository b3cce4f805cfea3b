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

	private boolean expired;

	private boolean loadSent;

	EntrySession(Incarnation incarnation, long nowNanos) {
		this.incarnation = incarnation;
		this.confirmedNanos = nowNanos;
	}

	Incarnation incarnation() {
		return this.incarnation;
	}

	long confirmedNanos() {
		return this.confirmedNanos;
	}

	void confirm(long pingNanos) {
		this.confirmedNanos = Math.max(this.confirmedNanos, pingNanos);
		this.expired = false;
	}

	/**
	 * Moves the last confirmation back, so that the session expires earlier unless a ping
	 * is confirmed.
	 * @param atMostNanos latest time up to which the session counts as confirmed
	 */
	void limitConfirmation(long atMostNanos) {
		this.confirmedNanos = Math.min(this.confirmedNanos, atMostNanos);
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

}
