package io.coriandermux.bench.load;

/**
 * Thrown if a process ends before the last sample of its usage.
 */
public final class ProcessEndedException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param pid the process id
	 * @param cause the failure to read its usage
	 */
	public ProcessEndedException(long pid, Throwable cause) {
		super("process " + pid + ": usage cannot be read", cause);
	}

}
