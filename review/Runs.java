package review;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the runs of each task on all runners that are up.
 */
final class Runs {

	private final Record record;

	private final Map<String, Integer> active = new HashMap<>();

	private boolean twice;

	Runs(Record record) {
		this.record = record;
	}

	synchronized void begin(String task) {
		if (this.active.merge(task, 1, Integer::sum) > 1) {
			this.twice = true;
			this.record.write("TWICE: " + task + " runs on two runners at the same time");
		}
	}

	synchronized void end(String task) {
		this.active.merge(task, -1, Integer::sum);
	}

	/** Returns whether two runs of one task were at work at the same time. */
	synchronized boolean isTwice() {
		return this.twice;
	}

}
