package io.coriandermux.cli;

import java.util.Locale;

/**
 * Exit code of a command. The table in docs/operators.md explains each code.
 */
public enum ExitCode {

	/** The command succeeded; the job is complete. */
	OK(0),

	/** An unexpected exception in the command itself. */
	INTERNAL(1),

	/** The command line is invalid. */
	USAGE(2),

	/** The input violates a rule; nothing was changed. */
	INVALID(3),

	/** Another edit was written first; nothing was changed. */
	CONFLICT(4),

	/** The store or process did not answer; nothing was changed. */
	UNAVAILABLE(5),

	/** The answer to a change was lost; the effect is unknown. */
	EFFECT_UNKNOWN(6),

	/** The requested object does not exist. */
	NOT_FOUND(7),

	/** The process or store refused the request. */
	REFUSED(8),

	/** The job failed. */
	JOB_FAILED(10),

	/** No task of the job ran. */
	JOB_NOT_RUN(11),

	/** A task of the job may have run. */
	JOB_OUTCOME_UNKNOWN(12),

	/** The request for the job could not be decided and may be retried. */
	JOB_UNDECIDED(13),

	/** The job has no outcome yet. */
	JOB_RUNNING(14);

	private final int number;

	ExitCode(int number) {
		this.number = number;
	}

	/**
	 * Returns the exit status of the process.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the name used in output and documentation.
	 * @return the lower-case name
	 */
	public String text() {
		return name().toLowerCase(Locale.ROOT);
	}

}
