package io.coriandermux.daemon.log;

/**
 * An event in the list of recent events that operators read.
 *
 * @param epochMillis wall-clock time in milliseconds since 1970-01-01 UTC
 * @param number number of the event
 * @param name name of the event
 * @param subject the process, job, endpoint or other object that the event concerns
 * @param detail human-readable details
 */
public record RecentEvent(long epochMillis, int number, String name, String subject, String detail) {

}
