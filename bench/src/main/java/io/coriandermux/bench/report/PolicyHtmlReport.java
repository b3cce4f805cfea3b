package io.coriandermux.bench.report;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

import io.coriandermux.bench.policy.PolicyBenchOptions;
import io.coriandermux.bench.policy.PolicyBenchResult;
import io.coriandermux.bench.policy.PolicyFigures;

/**
 * Plots the result of the policy benchmark against the targets of docs/design.md.
 */
public final class PolicyHtmlReport {

	private static final List<Metric> METRICS = List.of(
			new Metric("Response time, multiple of the central queue", PolicyFigures::responseVsCentral, 1.10),
			new Metric("Response time, multiple of the ideal queue", PolicyFigures::responseVsIdeal, 1.25),
			new Metric("Wasted messages per task", PolicyFigures::wastedMessagesPerTask, 0.05),
			new Metric("Short tasks on time at the peak, fraction", PolicyFigures::peakOnTimeFraction, 0.99),
			new Metric("99th-percentile slowdown of short tasks", PolicyFigures::shortP99Slowdown, 2));

	/**
	 * Renders the result.
	 * @param result the result
	 * @return the HTML document
	 */
	public String page(PolicyBenchResult result) {
		PolicyBenchOptions options = result.options();
		HtmlPage page = new HtmlPage("Policy bench");
		page.paragraph("Seed " + options.seed() + ", " + options.runs() + " runs of " + options.seconds()
				+ " s of virtual time, load " + options.load() + ". Bars beyond four times the target are cut.");
		result.workloads().forEach((name, workload) -> {
			page.heading("Workload " + name);
			for (Metric metric : METRICS) {
				List<BarChart.Bar> bars = new ArrayList<>();
				workload.figures()
					.forEach((policy, figures) -> bars
						.add(new BarChart.Bar(policy, metric.value().applyAsDouble(figures))));
				page.chart(new BarChart(metric.title(), bars, metric.target()));
			}
		});
		return page.html();
	}

	private record Metric(String title, ToDoubleFunction<PolicyFigures> value, double target) {

	}

}
