package io.coriandermux.core.lease;

/**
 * Fencing token of a guard. The endpoint does nothing for a lower token than the highest
 * that it has received. A raised token therefore shuts out all orders that were sent
 * before, as soon as the endpoint has received one later order.
 */
final class FencingToken {

	/** Step by which a token is raised that the endpoint refuses, in milliseconds. */
	private static final long REFUSED_STEP_MILLIS = 60_000;

	private long value;

	/**
	 * Creates a token.
	 * @param value the wall clock at the start of the guard in milliseconds
	 */
	FencingToken(long value) {
		this.value = value;
	}

	long value() {
		return this.value;
	}

	/**
	 * Shuts out an order that may still be carried out. The token is raised only once for
	 * all orders that were sent with it. An order counts as unanswered after 20 ms, or
	 * when its connection breaks, so the token rises more slowly than the wall clock, and
	 * that of the next guard, the wall clock of its start, is higher.
	 * @param orderToken the token that the order was sent with
	 * @return whether the token was raised
	 */
	boolean shutOut(long orderToken) {
		if (orderToken != this.value) {
			return false;
		}
		this.value++;
		return true;
	}

	/**
	 * Raises the token because the endpoint has received a higher one. An order that was
	 * sent before the token was raised is refused as intended and has no effect.
	 * @param orderToken the token of the refused order
	 * @return whether the token was raised
	 */
	boolean onRefused(long orderToken) {
		if (orderToken != this.value) {
			return false;
		}
		this.value += REFUSED_STEP_MILLIS;
		return true;
	}

}
