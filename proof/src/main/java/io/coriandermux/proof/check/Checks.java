package io.coriandermux.proof.check;

import java.util.ArrayList;
import java.util.List;

import io.coriandermux.proof.journal.Journal;

/**
 * Runs every check on the observations of a run.
 */
public final class Checks {

	private static final List<Check> ALL = List.of(new StartedOnce(), new WholeAnswer(), new OwnAnswer(),
			new NotRunTrue(), new NoWorkWhileLeaving(), new GracefulStop(), new RevisionsRise(), new ConfigInForce(),
			new OwnersApart(), new TruthfulOutcome(), new Liveness());

	private Checks() {
	}

	/**
	 * Returns the violations found by all checks.
	 * @param journal the observations of the run
	 * @return the violations in the order of the checks
	 */
	public static List<Violation> violations(Journal journal) {
		List<Violation> found = new ArrayList<>();
		ALL.forEach((check) -> found.addAll(check.violations(journal)));
		return found;
	}

}
