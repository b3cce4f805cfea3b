package io.coriandermux.daemon.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;

import io.coriandermux.core.id.Moment;
import io.coriandermux.core.notice.Notice;
import io.coriandermux.wire.TimeSource;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/**
 * Writes numbered events to the log and keeps the recent ones for operators. The class is
 * thread-safe.
 */
public final class EventLog {

	private static final int MAX_RECENT_EVENTS = 1000;

	/**
	 * Events about ordinary runs have their own list, because they would evict all others
	 * within seconds. An ordinary run causes three at a guard and one at an entry.
	 */
	private static final int MAX_RECENT_RUN_EVENTS = 8192;

	/**
	 * Longest subject or detail. Both may quote what other processes have written, and
	 * the recent events stay in memory.
	 */
	private static final int MAX_CHARACTERS = 4000;

	private static final int FIRST_RUN_EVENT = 2700;

	private static final int LAST_RUN_EVENT = 2799;

	private final Object lock = new Object();

	private final Logger logger;

	private final TimeSource time;

	private final RateLimiter rateLimiter = new RateLimiter();

	private final Deque<RecentEvent> recent = new ArrayDeque<>();

	private final Deque<RecentEvent> recentRunEvents = new ArrayDeque<>();

	/**
	 * Creates an event log.
	 * @param process id of the process, used as the name of the logger
	 * @param time clock of the process
	 */
	public EventLog(String process, TimeSource time) {
		this.logger = Logger.getLogger(process);
		this.time = time;
	}

	/**
	 * Records an event of the process.
	 * @param event the event
	 * @param subject the process, job, endpoint or other object that the event concerns
	 * @param detail human-readable details
	 */
	public void record(LogEvent event, String subject, String detail) {
		record(event.number(), event.name(), event.level(), subject, detail);
	}

	/**
	 * Records a notice of the decision thread.
	 * @param notice the notice
	 */
	public void record(Notice notice) {
		record(notice.kind().number(), notice.kind().name(), LogEvent.levelOf(notice.kind()), notice.subject(),
				notice.detail());
	}

	/**
	 * Returns the recent events.
	 * @return the events, the oldest first
	 */
	public List<RecentEvent> recentEvents() {
		synchronized (this.lock) {
			List<RecentEvent> events = new ArrayList<>(this.recent);
			events.addAll(this.recentRunEvents);
			events.sort(Comparator.comparingLong(RecentEvent::epochMillis));
			return events;
		}
	}

	private void record(int number, String name, LogLevel level, String fullSubject, String fullDetail) {
		String subject = shorten(fullSubject);
		String detail = shorten(fullDetail);
		Moment now = this.time.now();
		boolean enabled = this.logger.isEnabled(level.loggerLevel());
		long suppressed = -1;
		synchronized (this.lock) {
			RecentEvent event = new RecentEvent(now.epochMillis(), number, name, subject, detail);
			if (number >= FIRST_RUN_EVENT && number <= LAST_RUN_EVENT) {
				add(this.recentRunEvents, MAX_RECENT_RUN_EVENTS, event);
			}
			else {
				add(this.recent, MAX_RECENT_EVENTS, event);
			}
			if (enabled) {
				suppressed = this.rateLimiter.admit(number, now.nanos());
			}
		}
		if (suppressed >= 0) {
			write(number, name, level, subject, detail, suppressed);
		}
	}

	private static String shorten(String text) {
		return (text.length() > MAX_CHARACTERS) ? text.substring(0, MAX_CHARACTERS) + "..." : text;
	}

	private static void add(Deque<RecentEvent> events, int limit, RecentEvent event) {
		if (events.size() == limit) {
			events.remove();
		}
		events.add(event);
	}

	private void write(int number, String name, LogLevel level, String subject, String detail, long suppressed) {
		MDC.put(JsonEncoder.EVENT, String.valueOf(number));
		MDC.put(JsonEncoder.SUBJECT, subject);
		if (suppressed > 0) {
			MDC.put(JsonEncoder.SUPPRESSED, String.valueOf(suppressed));
		}
		try {
			this.logger.log(level.loggerLevel(), name + ": " + detail);
		}
		finally {
			MDC.remove(JsonEncoder.EVENT);
			MDC.remove(JsonEncoder.SUBJECT);
			MDC.remove(JsonEncoder.SUPPRESSED);
		}
	}

}
