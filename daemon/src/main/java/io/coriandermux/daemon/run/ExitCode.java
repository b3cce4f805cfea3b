package io.coriandermux.daemon.run;

/**
 * Exit codes of the processes; docs/settings.md lists them.
 */
public enum ExitCode {

	/** The process shut down after everything in progress had finished. */
	OK(0),

	/** An unexpected exception stopped the process. */
	FAILED(1),

	/** The command line is invalid. */
	USAGE(2),

	/** The settings are invalid. */
	SETTINGS(3),

	/** A port cannot be bound or a client cannot start. */
	START(4),

	/** The graceful shutdown reached its time limit before everything had finished. */
	OVERDUE(5);

	private final int number;

	ExitCode(int number) {
		this.number = number;
	}

	/**
	 * Returns the exit status of the process.
	 * @return the exit status
	 */
	public int number() {
		return this.number;
	}

}
