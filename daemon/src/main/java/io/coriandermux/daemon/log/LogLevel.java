package io.coriandermux.daemon.log;

import org.jboss.logging.Logger;

/**
 * Level of a log event.
 */
public enum LogLevel {

	/** The handling of a single request or task. */
	DEBUG(Logger.Level.DEBUG),

	/** A change of state that is part of normal operation. */
	INFO(Logger.Level.INFO),

	/** A problem outside the process that the system tolerates. */
	WARN(Logger.Level.WARN),

	/** A failure that stops the process. */
	ERROR(Logger.Level.ERROR);

	private final Logger.Level loggerLevel;

	LogLevel(Logger.Level loggerLevel) {
		this.loggerLevel = loggerLevel;
	}

	Logger.Level loggerLevel() {
		return this.loggerLevel;
	}

}
