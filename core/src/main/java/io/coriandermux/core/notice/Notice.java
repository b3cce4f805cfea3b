package io.coriandermux.core.notice;

import java.util.OptionalLong;

/**
 * An event that is reported to operators.
 *
 * @param kind kind of the event
 * @param subject the job, guard, entry or partition that the event concerns
 * @param detail human-readable details
 * @param durationNanos time in nanoseconds that metrics record for the event, empty if it
 * has none
 */
public record Notice(NoticeKind kind, String subject, String detail, OptionalLong durationNanos) {

	/**
	 * Creates a notice of an event without a duration.
	 * @param kind kind of the event
	 * @param subject the job, guard, entry or partition that the event concerns
	 * @param detail human-readable details
	 */
	public Notice(NoticeKind kind, String subject, String detail) {
		this(kind, subject, detail, OptionalLong.empty());
	}

}
