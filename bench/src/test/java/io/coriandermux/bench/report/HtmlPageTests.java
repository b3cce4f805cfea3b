package io.coriandermux.bench.report;

import java.util.List;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against pages that load other files, and against labels that break the markup.
 */
class HtmlPageTests {

	@Example
	void pageReferencesNoOtherFile() {
		String html = new HtmlPage("Bench").chart(new BarChart("t", List.of(new BarChart.Bar("a", 1)), 2)).html();
		assertThat(html).doesNotContain("src=", "href=", "url(").contains("<svg", "target 2.000");
	}

	@Example
	void labelsAreEscaped() {
		String html = new HtmlPage("a<b").heading("\"c\" & d").html();
		assertThat(html).contains("a&lt;b", "&quot;c&quot; &amp; d").doesNotContain("a<b");
	}

	@Example
	void barFarAboveTheTargetIsCutAndStillShowsItsValue() {
		String svg = new BarChart("t", List.of(new BarChart.Bar("random", 1000)), 1).svg();
		assertThat(svg).contains("width=\"420.0\"", "1000.000");
	}

}
