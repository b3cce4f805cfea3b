package io.coriandermux.daemon.run;

/**
 * Exit codes of the processes; docs/settings.md lists them.
 */
public enum ExitCode {

	/** The process was shut down and nothing in progress was cut. */
	OK(0),

	/** The program failed. */
	FAILED(1),

	/** The command line is wrong. */
	USAGE(2),

	/** The settings cannot be used. */
	SETTINGS(3),

	/** A port cannot be bound or a client cannot start. */
	START(4),

	/** The time of the graceful shutdown ended before everything in progress had. */
	OVERDUE(5);

	private final int number;

	ExitCode(int number) {
		this.number = number;
	}

	/**
	 * Returns the number that the process ends with.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

}
