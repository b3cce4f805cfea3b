package io.coriandermux.core.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Record of the events of a model.
 */
final class ModelTrace {

	private static final int MAX_LINES = 40_000;

	private final ModelClock clock;

	private final List<Line> lines = new ArrayList<>();

	ModelTrace(ModelClock clock) {
		this.clock = clock;
	}

	void add(String subject, String text) {
		if (this.lines.size() < MAX_LINES) {
			this.lines.add(new Line(this.clock.elapsedMillis(), subject, text));
		}
	}

	/**
	 * Returns the faults and the lines that name a batch.
	 * @param batch the batch
	 * @return the lines in the order of time
	 */
	List<String> about(String batch) {
		return lines().stream()
			.filter((line) -> line.contains("FAULT") || line.contains(batch + ".") || line.contains(batch + " "))
			.toList();
	}

	List<String> lines() {
		return this.lines.stream().map(Line::toString).toList();
	}

	private record Line(double elapsedMillis, String subject, String text) {

		@Override
		public String toString() {
			return String.format(Locale.ROOT, "%9.1f %s: %s", this.elapsedMillis, this.subject, this.text);
		}

	}

}
