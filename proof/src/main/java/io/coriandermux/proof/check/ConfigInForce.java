package io.coriandermux.proof.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.coriandermux.proof.journal.ConfigAccepted;
import io.coriandermux.proof.journal.Journal;
import io.coriandermux.proof.journal.Observation;
import io.coriandermux.proof.journal.ProcessState;
import io.coriandermux.proof.journal.ProcessStateChanged;
import io.coriandermux.proof.journal.RevisionsReported;
import io.coriandermux.proof.journal.StoreReachabilityChanged;

/**
 * P8, second part: an accepted configuration is in force at each live entry within 8 s.
 * The time starts when the configuration was accepted, the store became reachable again,
 * or the entry started or resumed, whichever is last.
 */
public final class ConfigInForce implements Check {

	private static final long MAX_DELAY_NANOS = 8_000_000_000L;

	@Override
	public List<Violation> violations(Journal journal) {
		List<Violation> found = new ArrayList<>();
		Map<String, Long> runningSince = new LinkedHashMap<>();
		List<ConfigAccepted> accepted = new ArrayList<>();
		long storeReachableSince = 0;
		for (Observation observation : journal.all()) {
			if (observation instanceof ConfigAccepted configuration) {
				accepted.add(configuration);
			}
			else if (observation instanceof StoreReachabilityChanged store) {
				storeReachableSince = store.reachable() ? store.atNanos() : Long.MAX_VALUE / 2;
			}
			else if (observation instanceof ProcessStateChanged changed) {
				boolean running = changed.state() == ProcessState.UP || changed.state() == ProcessState.RESUMED;
				runningSince.put(changed.process(), running ? changed.atNanos() : Long.MAX_VALUE / 2);
			}
			else if (observation instanceof RevisionsReported report && isEntry(report.process())) {
				long since = Math.max(runningSince.get(report.process()), storeReachableSince);
				for (ConfigAccepted configuration : accepted) {
					if (configuration.revision() > report.config()
							&& report.atNanos() - Math.max(since, configuration.atNanos()) > MAX_DELAY_NANOS) {
						found.add(new Violation(name(), report.atNanos(), report.process() + " holds " + report.config()
								+ ", accepted is " + configuration.revision()));
					}
				}
			}
		}
		return found;
	}

	private static boolean isEntry(String process) {
		return process.startsWith("e");
	}

}
