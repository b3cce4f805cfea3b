package io.coriandermux.core.lease;

import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;

/**
 * Reports that the endpoint gives no answer, once for each silence, and its length when
 * the endpoint answers again. Runs at a silent endpoint go on until their lease expires.
 */
final class EndpointSilence {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/**
	 * The endpoint delays the answer to a poll by up to 250 ms, and a call times out
	 * after 150 ms.
	 */
	private static final long REPORT_AFTER_NANOS = 500 * NANOS_PER_MILLI;

	private final Consumer<Notice> notices;

	/** Whether the endpoint is polled all the time, so that answers are due. */
	private boolean expected;

	private boolean reported;

	/** Time since which the endpoint has given no answer. */
	private long sinceNanos;

	/** Result of the last call that had no answer. */
	private OrderResult lastFailure;

	private String endpoint;

	EndpointSilence(Consumer<Notice> notices) {
		this.notices = notices;
	}

	/**
	 * Records the result of a call.
	 * @param result the result
	 * @param nowNanos the current time on the monotonic clock
	 */
	void onResult(OrderResult result, long nowNanos) {
		if (result == OrderResult.UNANSWERED || result == OrderResult.NOT_SENT) {
			this.lastFailure = result;
			return;
		}
		if (this.reported) {
			send(NoticeKind.ENDPOINT_ANSWERS, "after " + (nowNanos - this.sinceNanos) / NANOS_PER_MILLI + " ms");
		}
		restart(nowNanos);
	}

	/**
	 * Reports a silence that has lasted long enough.
	 * @param answersDue whether the endpoint is polled all the time
	 * @param nowNanos the current time on the monotonic clock
	 * @param situation supplies what the notice contains
	 */
	void check(boolean answersDue, long nowNanos, Supplier<Situation> situation) {
		if (answersDue != this.expected) {
			this.expected = answersDue;
			if (!this.reported) {
				restart(nowNanos);
			}
		}
		if (!answersDue || this.reported || nowNanos - this.sinceNanos < REPORT_AFTER_NANOS) {
			return;
		}
		this.reported = true;
		Situation found = situation.get();
		this.endpoint = String.valueOf(found.endpoint());
		send(NoticeKind.ENDPOINT_SILENT, "no answer for " + (nowNanos - this.sinceNanos) / NANOS_PER_MILLI + " ms, "
				+ ((this.lastFailure != null) ? "last call " + this.lastFailure : "no call has ended") + ", "
				+ found.runs() + " runs held, " + (found.leaseMillis().isPresent()
						? "lease expires in " + found.leaseMillis().getAsLong() + " ms" : "no lease granted")
				+ ", last poll " + found.lastPoll());
	}

	private void restart(long nowNanos) {
		this.reported = false;
		this.sinceNanos = nowNanos;
		this.lastFailure = null;
	}

	private void send(NoticeKind kind, String detail) {
		this.notices.accept(new Notice(kind, this.endpoint, detail));
	}

	/**
	 * What a guard has at its endpoint.
	 *
	 * @param endpoint the incarnation that orders are addressed to
	 * @param runs number of runs that hold resources
	 * @param leaseMillis time until every granted lease has expired, in milliseconds,
	 * negative if it has passed, empty if none was granted
	 * @param lastPoll number of the last poll
	 */
	record Situation(EndpointIncarnation endpoint, int runs, OptionalLong leaseMillis, long lastPoll) {

	}

}
