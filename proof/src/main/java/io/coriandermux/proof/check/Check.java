package io.coriandermux.proof.check;

import java.util.List;

import io.coriandermux.proof.journal.Journal;

/**
 * Verifies one guarantee against the observations of a run.
 */
public interface Check {

	/**
	 * Finds the violations of the guarantee.
	 * @param journal the observations of the run
	 * @return the violations, empty if the guarantee holds
	 */
	List<Violation> violations(Journal journal);

	/**
	 * Returns the name of the check, which is printed with its violations.
	 * @return the simple name of its class
	 */
	default String name() {
		return getClass().getSimpleName();
	}

}
