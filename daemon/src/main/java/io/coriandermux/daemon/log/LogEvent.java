package io.coriandermux.daemon.log;

import io.coriandermux.core.notice.NoticeKind;

/**
 * Log event of a process, with its number. The events of the decision thread are numbered
 * in {@link NoticeKind}; docs/EVENTS.md lists both.
 */
public enum LogEvent {

	/** The process has started and its ports are open. */
	STARTED(1001, LogLevel.INFO),

	/** The process starts a graceful shutdown. */
	SHUTDOWN_STARTED(1002, LogLevel.INFO),

	/** The process has completed its shutdown. */
	STOPPED(1003, LogLevel.INFO),

	/** The time limit of a graceful shutdown expired before all work had ended. */
	SHUTDOWN_OVERDUE(1004, LogLevel.WARN),

	/** An unexpected exception ended the decision thread; the process stops. */
	DECISION_FAILED(1005, LogLevel.ERROR),

	/** A reload of the settings was requested. */
	RELOADED(1006, LogLevel.INFO),

	/** The decision thread stood still. */
	DECISIONS_STALLED(1007, LogLevel.WARN),

	/** All work has ended during a graceful shutdown; the ports are closed next. */
	WORK_ENDED(1008, LogLevel.INFO),

	/** The store is unavailable. */
	STORE_UNAVAILABLE(3001, LogLevel.WARN),

	/** The store is available again. */
	STORE_AVAILABLE(3002, LogLevel.INFO),

	/** The process is announced in the store. */
	ANNOUNCED(3003, LogLevel.INFO),

	/** The lease of the announcement has expired. */
	LEASE_LAPSED(3004, LogLevel.WARN),

	/** A configuration has come into force. */
	TABLES_APPLIED(3005, LogLevel.INFO),

	/** A configuration is invalid; the previous one stays in force. */
	TABLES_REFUSED(3006, LogLevel.WARN),

	/** A value in the store cannot be parsed and is ignored. */
	VALUE_MALFORMED(3007, LogLevel.WARN),

	/** A thread that calls the store caught an unexpected exception and continues. */
	STORE_CALLER_FAILED(3008, LogLevel.WARN),

	/** A link is connected. */
	LINK_UP(4001, LogLevel.INFO),

	/** The process at the other end of a link is considered dead. */
	PEER_LOST(4002, LogLevel.WARN),

	/** A connection between processes was closed because of an error. */
	LINK_FAULT(4003, LogLevel.WARN),

	/** A caller's request was refused before it reached the decision thread. */
	REQUEST_MALFORMED(5001, LogLevel.INFO),

	/** A caller's key is missing or unknown. */
	CALLER_UNKNOWN(5002, LogLevel.WARN),

	/** The endpoint closed a connection early or responded with an error. */
	ENDPOINT_FAULT(5003, LogLevel.WARN),

	/** A heartbeat or a response of the endpoint cannot be parsed. */
	REPORT_MALFORMED(5004, LogLevel.WARN);

	private final int number;

	private final LogLevel level;

	LogEvent(int number, LogLevel level) {
		this.number = number;
		this.level = level;
	}

	/**
	 * Returns the number of the event.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the level of the event.
	 * @return the level
	 */
	public LogLevel level() {
		return this.level;
	}

	/**
	 * Returns the log level of a notice of the decision thread.
	 * @param kind kind of the notice
	 * @return the level
	 */
	public static LogLevel levelOf(NoticeKind kind) {
		switch (kind) {
			case JOB_ACCEPTED:
			case JOB_ENDED:
			case JOB_REPLAYED:
			case REQUEST_REFUSED:
			case FENCED:
			case RUN_ORDERED:
			case START_ANSWERED:
			case RUN_ENDED:
			case STOP_SENT:
			case STOP_ANSWERED:
			case RUN_END_RECEIVED:
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
			case ENDPOINT_ANSWERS:
			case BATCH_CLAIMED:
			case CLAIM_MEMBERS_CHANGED:
			case CLAIM_DENIED:
			case BATCH_TAKE_OVER_GRANTED:
			case TABLES_IN_FORCE:
			case STOP_REQUESTED:
			case STOP_CONFIRMED:
			case RUNS_LISTED:
			case RUN_NOT_HELD:
				return LogLevel.INFO;
			default:
				return LogLevel.WARN;
		}
	}

}
