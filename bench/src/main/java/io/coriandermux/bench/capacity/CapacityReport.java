package io.coriandermux.bench.capacity;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Formats fitted lines as a Markdown table.
 */
public final class CapacityReport {

	/**
	 * Formats the lines.
	 * @param slopes the fitted lines
	 * @return the table, with one row for each line
	 */
	public String format(List<CapacitySlope> slopes) {
		String header = "| probe | slope | intercept | residual | points |\n|---|---|---|---|---|\n";
		return header + slopes.stream().map(CapacityReport::row).collect(Collectors.joining());
	}

	private static String row(CapacitySlope slope) {
		String points = slope.points()
			.stream()
			.map((point) -> String.format(Locale.ROOT, "%d: %.0f", point.size(), point.cost()))
			.collect(Collectors.joining(", "));
		return String.format(Locale.ROOT, "| %s | %.2f %s per %s | %.0f %s | %.1f%% | %s |%n", slope.name(),
				slope.slope(), slope.costUnit(), slope.sizeUnit(), slope.intercept(), slope.costUnit(),
				100 * slope.residual(), points);
	}

}
