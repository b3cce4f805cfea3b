package io.coriandermux.bench.report;

import java.util.List;
import java.util.Locale;

/**
 * A horizontal bar chart as inline SVG.
 *
 * @param title title of the chart
 * @param bars the bars from top to bottom
 * @param target the target value, marked with a line
 */
public record BarChart(String title, List<Bar> bars, double target) {

	private static final int LABEL_WIDTH = 150;

	private static final int PLOT_WIDTH = 420;

	private static final int BAR_HEIGHT = 18;

	private static final int ROW_HEIGHT = 24;

	private static final int TEXT_OFFSET = 14;

	private static final int VALUE_WIDTH = 80;

	/**
	 * Bars longer than this multiple of the target are cut, so that one poor baseline
	 * does not make the other bars too short to compare.
	 */
	private static final double MAX_TARGET_MULTIPLE = 4;

	/**
	 * Renders the chart.
	 * @return an SVG element as text
	 */
	public String svg() {
		double largest = this.bars.stream().mapToDouble(Bar::value).max().orElse(1);
		double scale = Math.max(Math.min(largest, MAX_TARGET_MULTIPLE * this.target), this.target);
		int height = ROW_HEIGHT * this.bars.size() + ROW_HEIGHT;
		StringBuilder svg = new StringBuilder();
		svg.append(String.format(Locale.ROOT, "<svg width=\"%d\" height=\"%d\" role=\"img\" aria-label=\"%s\">%n",
				LABEL_WIDTH + PLOT_WIDTH + VALUE_WIDTH, height, HtmlPage.escape(this.title)));
		for (int row = 0; row < this.bars.size(); row++) {
			svg.append(renderBar(this.bars.get(row), row * ROW_HEIGHT, scale));
		}
		double x = LABEL_WIDTH + PLOT_WIDTH * this.target / scale;
		svg.append(String.format(Locale.ROOT,
				"<line x1=\"%.1f\" y1=\"0\" x2=\"%.1f\" y2=\"%d\" class=\"target\"/>%n<text x=\"%.1f\" y=\"%d\" "
						+ "text-anchor=\"end\">target %s</text>%n</svg>%n",
				x, x, height - ROW_HEIGHT / 2, x, height - 2, formatValue(this.target)));
		return svg.toString();
	}

	private static String renderBar(Bar bar, int y, double scale) {
		double width = PLOT_WIDTH * Math.min(1, bar.value() / scale);
		int textY = y + TEXT_OFFSET;
		return String.format(Locale.ROOT,
				"<text x=\"0\" y=\"%d\">%s</text><rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"%d\"/>"
						+ "<text x=\"%.1f\" y=\"%d\">%s</text>%n",
				textY, HtmlPage.escape(bar.label()), LABEL_WIDTH, y, width, BAR_HEIGHT, LABEL_WIDTH + width + 4, textY,
				formatValue(bar.value()));
	}

	private static String formatValue(double value) {
		return String.format(Locale.ROOT, "%.3f", value);
	}

	/**
	 * A bar.
	 *
	 * @param label label of the bar
	 * @param value value of the bar
	 */
	public record Bar(String label, double value) {

	}

}
