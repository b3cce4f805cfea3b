package io.coriandermux.proof.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.coriandermux.proof.journal.Journal;
import io.coriandermux.proof.journal.RevisionsReported;

/**
 * P8, first part: during one incarnation of a process, the revisions of the configuration
 * and of the home table that it has in force never decrease.
 */
public final class RevisionsRise implements Check {

	@Override
	public List<Violation> violations(Journal journal) {
		List<Violation> found = new ArrayList<>();
		Map<String, RevisionsReported> last = new LinkedHashMap<>();
		journal.ofType(RevisionsReported.class).forEach((report) -> {
			RevisionsReported before = last.put(report.process() + "/" + report.incarnation(), report);
			if (before != null && (report.config() < before.config() || report.homes() < before.homes())) {
				found.add(new Violation(name(), report.atNanos(), report.process() + " went from " + before.config()
						+ "/" + before.homes() + " to " + report.config() + "/" + report.homes()));
			}
		});
		return found;
	}

}
