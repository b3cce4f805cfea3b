package io.coriandermux.bench.report;

/**
 * Builds a self-contained HTML page, without references to other files.
 */
public final class HtmlPage {

	private static final String STYLE = "body{font:14px sans-serif;margin:2em;max-width:60em}rect{fill:#4477aa}"
			+ ".target{stroke:#cc3311;stroke-width:2}text{font:12px sans-serif}h2{margin-top:2em}";

	private final StringBuilder body = new StringBuilder();

	private final String title;

	/**
	 * Creates an empty page.
	 * @param title title of the page
	 */
	public HtmlPage(String title) {
		this.title = title;
	}

	/**
	 * Adds a heading.
	 * @param text the text
	 * @return this page
	 */
	public HtmlPage heading(String text) {
		this.body.append("<h2>").append(escape(text)).append("</h2>\n");
		return this;
	}

	/**
	 * Adds a paragraph.
	 * @param text the text
	 * @return this page
	 */
	public HtmlPage paragraph(String text) {
		this.body.append("<p>").append(escape(text)).append("</p>\n");
		return this;
	}

	/**
	 * Adds a chart with its title.
	 * @param chart the chart
	 * @return this page
	 */
	public HtmlPage chart(BarChart chart) {
		this.body.append("<h3>").append(escape(chart.title())).append("</h3>\n").append(chart.svg());
		return this;
	}

	/**
	 * Renders the page.
	 * @return the HTML document
	 */
	public String html() {
		return "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>" + escape(this.title)
				+ "</title><style>" + STYLE + "</style></head><body>\n<h1>" + escape(this.title) + "</h1>\n" + this.body
				+ "</body></html>\n";
	}

	static String escape(String text) {
		return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
	}

}
