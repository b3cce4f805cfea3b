package io.coriandermux.core.lease;

import java.util.function.Consumer;

/**
 * Fencing token of a guard. The endpoint does nothing for a lower token than the highest
 * that it has received. A raised token therefore shuts out all orders that were sent
 * before, as soon as the endpoint has received one later order.
 */
final class FencingToken {

	/** Step by which a token is raised that the endpoint refuses, in milliseconds. */
	private static final long REFUSED_STEP_MILLIS = 60_000;

	/** An order without an answer may be carried out up to 12 s later. */
	private static final long MAX_ORDER_DELAY_NANOS = 12_000_000_000L;

	private final Consumer<String> onRaised;

	private long value;

	private boolean orderUnanswered;

	private long unansweredNanos;

	/**
	 * Creates a token.
	 * @param value the wall clock at the start of the guard in milliseconds
	 * @param onRaised receives a description when the token was raised
	 */
	FencingToken(long value, Consumer<String> onRaised) {
		this.value = value;
		this.onRaised = onRaised;
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
	 * @param nowNanos the current time on the monotonic clock
	 */
	void shutOut(long orderToken, long nowNanos) {
		this.orderUnanswered = true;
		this.unansweredNanos = nowNanos;
		if (orderToken == this.value) {
			this.value++;
			this.onRaised.accept("to " + this.value + ", earlier orders may be carried out late");
		}
	}

	/**
	 * Returns whether an order may still be carried out late. The next incarnation of the
	 * endpoint would do so until a poll has told it the token, so an idle endpoint is
	 * then polled as often as a busy one.
	 * @param nowNanos the current time on the monotonic clock
	 * @return whether the last order without an answer is less than 12 s old
	 */
	boolean mayOrderBeLate(long nowNanos) {
		return this.orderUnanswered && nowNanos - this.unansweredNanos < MAX_ORDER_DELAY_NANOS;
	}

	/**
	 * Raises the token because the endpoint has received a higher one. An order that was
	 * sent before the token was raised is refused as intended and has no effect.
	 * @param orderToken the token of the refused order
	 */
	void onRefused(long orderToken) {
		if (orderToken == this.value) {
			this.value += REFUSED_STEP_MILLIS;
			this.onRaised.accept("to " + this.value + ", the endpoint has received a higher one");
		}
	}

}
