package io.coriandermux.bench.load;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Formats the result of a load run as Markdown tables.
 */
public final class LoadReport {

	private static final double MICROS_PER_MILLI = 1000;

	private static final double BYTES_PER_MEGABYTE = 1 << 20;

	private static final List<Double> PERCENTILES = List.of(50.0, 99.0, 99.9);

	/**
	 * Formats a result.
	 * @param result the result
	 * @return the tables
	 */
	public String format(LoadResult result) {
		StringBuilder text = new StringBuilder();
		text.append("| phase | due/s | complete/s | added p50 ms | p99 ms | p99.9 ms | outcomes |\n");
		text.append("|---|---|---|---|---|---|---|\n");
		result.phases().forEach((phase) -> text.append(row(phase)));
		text.append("\n| process | phase | core | processor us/task | resident MB | link bytes/s |\n");
		text.append("|---|---|---|---|---|---|\n");
		result.usages().forEach((usage) -> text.append(row(usage)));
		return text.toString();
	}

	private static String row(PhaseResult phase) {
		StringBuilder row = new StringBuilder();
		row.append(String.format(Locale.ROOT, "| %s | %.0f | %.0f |", phase.name(), phase.ratePerSecond(),
				phase.completePerSecond()));
		for (double percentile : PERCENTILES) {
			double millis = phase.addedMicros().getValueAtPercentile(percentile) / MICROS_PER_MILLI;
			row.append(String.format(Locale.ROOT, " %.2f |", millis));
		}
		Map<String, Long> outcomes = new TreeMap<>(phase.outcomes());
		return row.append(" ").append(outcomes).append(" |\n").toString();
	}

	private static String row(PhaseUsage usage) {
		return String.format(Locale.ROOT, "| %s | %s | %.2f%% | %.1f | %.1f | %.0f |%n", usage.process(), usage.phase(),
				100 * usage.coreFraction(), usage.processorMicrosPerTask(), usage.residentBytes() / BYTES_PER_MEGABYTE,
				usage.linkBytesPerSecond());
	}

}
