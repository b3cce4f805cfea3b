package io.coriandermux.bench.policy;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.coriandermux.bench.policy.PolicyBenchResult.WorkloadResult;

/**
 * Prints the result of the policy benchmark.
 */
public final class PolicyBenchReport {

	private static final List<String> BASELINES = List.of("random", "round_robin", "two_choices");

	private final PrintStream out;

	/**
	 * Creates a report.
	 * @param out the stream to print to
	 */
	public PolicyBenchReport(PrintStream out) {
		this.out = out;
	}

	/**
	 * Prints a table.
	 * @param result the result
	 */
	public void printTable(PolicyBenchResult result) {
		PolicyBenchOptions options = result.options();
		this.out.printf(Locale.ROOT, "policy bench: seed %d, %d runs of %d s, load %.2f%n", options.seed(),
				options.runs(), options.seconds(), options.load());
		result.workloads().forEach(this::printWorkload);
	}

	/**
	 * Prints one line with one JSON object.
	 * @param result the result
	 * @throws JsonProcessingException if the figures cannot be written
	 */
	public void printJson(PolicyBenchResult result) throws JsonProcessingException {
		Map<String, Object> workloads = new LinkedHashMap<>();
		result.workloads().forEach((name, workload) -> workloads.put(name, toJson(workload)));
		this.out.println(new ObjectMapper().writeValueAsString(Map.of("workloads", workloads)));
	}

	private void printWorkload(String name, WorkloadResult workload) {
		this.out.printf(Locale.ROOT, "%n%-26s %9s %8s %8s %8s %9s %9s %9s %9s %8s %9s%n", name, "vs_centr", "vs_ideal",
				"wasted", "crest", "short_p99", "job_centr", "stdy_cent", "unserved", "refidle", "mean_ms");
		workload.figures()
			.forEach((policy, figures) -> this.out.printf(Locale.ROOT,
					"%-26s %9.3f %8.3f %8.4f %8.4f %9.2f %9.3f %9.3f %9.5f %8.1f %9.1f%n", policy,
					figures.responseVsCentral(), figures.responseVsIdeal(), figures.wastedMessagesPerTask(),
					figures.peakOnTimeFraction(), figures.shortP99Slowdown(), figures.jobResponseVsCentral(),
					figures.steadyVsCentral(), figures.unservedFraction(), figures.refusedWhileIdle(),
					figures.meanResponseMillis()));
		this.out.println("wasted messages per task by type: " + workload.wastedByType());
	}

	private static Map<String, Object> toJson(WorkloadResult workload) {
		Map<String, Object> json = new LinkedHashMap<>();
		Map<String, Object> baselines = new LinkedHashMap<>();
		Map<String, Object> others = new LinkedHashMap<>();
		workload.figures().forEach((policy, figures) -> {
			if (policy.equals(PolicyBench.DISPATCHER)) {
				json.put(policy, toJson(figures));
			}
			else if (BASELINES.contains(policy)) {
				baselines.put(policy, toJson(figures));
			}
			else {
				others.put(policy, toJson(figures));
			}
		});
		json.put("baselines", baselines);
		json.put("others", others);
		return json;
	}

	private static Map<String, Object> toJson(PolicyFigures figures) {
		Map<String, Object> json = new LinkedHashMap<>();
		json.put("response_vs_central", figures.responseVsCentral());
		json.put("response_vs_ideal", figures.responseVsIdeal());
		json.put("wasted_messages_per_task", figures.wastedMessagesPerTask());
		json.put("crest_on_time_fraction", figures.peakOnTimeFraction());
		json.put("short_p99_slowdown", figures.shortP99Slowdown());
		json.put("job_response_vs_central", figures.jobResponseVsCentral());
		json.put("steady_response_vs_central", figures.steadyVsCentral());
		json.put("unserved_fraction", figures.unservedFraction());
		json.put("refused_while_idle", figures.refusedWhileIdle());
		return json;
	}

}
