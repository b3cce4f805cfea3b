package io.coriandermux.daemon.log;

import io.coriandermux.core.notice.NoticeKind;

/**
 * Log event of a process, with its number. The events of the decisions are numbered in
 * {@link NoticeKind}; docs/EVENTS.md lists both.
 */
public enum LogEvent {

	/** The process serves. */
	STARTED(1001, LogLevel.INFO),

	/** The process begins a graceful shutdown. */
	SHUTDOWN_STARTED(1002, LogLevel.INFO),

	/** The process has ended its shutdown. */
	STOPPED(1003, LogLevel.INFO),

	/** The time of a graceful shutdown ended before everything in progress had. */
	SHUTDOWN_OVERDUE(1004, LogLevel.WARN),

	/** The decisions failed by a fault of the program; the process stops. */
	DECISION_FAILED(1005, LogLevel.ERROR),

	/** The settings were read again. */
	RELOADED(1006, LogLevel.INFO),

	/** The store does not answer. */
	STORE_UNAVAILABLE(3001, LogLevel.WARN),

	/** The store answers again. */
	STORE_AVAILABLE(3002, LogLevel.INFO),

	/** The process is announced in the store. */
	ANNOUNCED(3003, LogLevel.INFO),

	/** The lease of the announcement lapsed. */
	LEASE_LAPSED(3004, LogLevel.WARN),

	/** A configuration is in force. */
	TABLES_APPLIED(3005, LogLevel.INFO),

	/** A configuration breaks rules; the one in force stays. */
	TABLES_REFUSED(3006, LogLevel.WARN),

	/** A value in the store cannot be read and is ignored. */
	VALUE_MALFORMED(3007, LogLevel.WARN),

	/** A fault of the program interrupted a thread that calls the store; it goes on. */
	STORE_CALLER_FAILED(3008, LogLevel.WARN),

	/** A link is up. */
	LINK_UP(4001, LogLevel.INFO),

	/** A process at the other end of a link is considered dead. */
	PEER_LOST(4002, LogLevel.WARN),

	/** A connection between processes was closed because of a fault. */
	LINK_FAULT(4003, LogLevel.WARN),

	/** A caller's request was refused before it reached the decisions. */
	REQUEST_MALFORMED(5001, LogLevel.INFO),

	/** A caller's key is unknown. */
	CALLER_UNKNOWN(5002, LogLevel.WARN),

	/** The endpoint broke a connection or answered with an error. */
	ENDPOINT_FAULT(5003, LogLevel.WARN),

	/** A heartbeat or an answer of the endpoint cannot be read. */
	REPORT_MALFORMED(5004, LogLevel.WARN);

	private final int number;

	private final LogLevel level;

	LogEvent(int number, LogLevel level) {
		this.number = number;
		this.level = level;
	}

	/**
	 * Returns the number.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the level.
	 * @return the level
	 */
	public LogLevel level() {
		return this.level;
	}

	/**
	 * Returns the level of a notice of the decisions.
	 * @param kind the notice
	 * @return the level
	 */
	public static LogLevel level(NoticeKind kind) {
		switch (kind) {
			case JOB_ACCEPTED:
			case JOB_ENDED:
			case JOB_REPLAYED:
			case REQUEST_REFUSED:
			case FENCED:
				return LogLevel.DEBUG;
			case TAKE_OVER_STARTED:
			case TAKE_OVER_FINISHED:
			case HOMES_WRITTEN:
			case PARTITIONS_LOST:
			case ENDPOINT_READMITTED:
			case GUARD_LEAVING:
			case ENDPOINT_BEGAN:
			case ENDPOINT_SETTLED:
			case ENDPOINT_DRAINS:
			case ENDPOINT_LEFT:
			case ENDPOINT_KNOWN:
			case BATCH_ACCEPTED:
			case RUN_PLACED:
			case TASK_RETRIED:
			case BATCH_ENDED:
			case BATCH_REFUSED:
			case BATCH_ABANDONED:
			case RUN_NOT_DONE:
			case RUN_REFUSED:
			case TABLES_IN_FORCE:
				return LogLevel.INFO;
			default:
				return LogLevel.WARN;
		}
	}

}
