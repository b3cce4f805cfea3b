package io.coriandermux.core.notice;

/**
 * An event that is reported to operators.
 *
 * @param kind kind of the event
 * @param subject the job, guard, entry or partition that the event concerns
 * @param detail human-readable details
 */
public record Notice(NoticeKind kind, String subject, String detail) {

}
