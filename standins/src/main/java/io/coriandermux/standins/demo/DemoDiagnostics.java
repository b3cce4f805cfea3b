package io.coriandermux.standins.demo;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Prints the diagnostics that the surviving entry offers to operators: explanations of
 * jobs, failures by owner, event counts and status.
 */
final class DemoDiagnostics {

	private static final int MAX_SHOWN = 3;

	private static final String ENTRY_OPERATORS = "entry-1-ops";

	private final ProcessClient client;

	private final PrintStream out;

	DemoDiagnostics(ProcessClient client, PrintStream out) {
		this.client = client;
		this.out = out;
	}

	void print(List<JobResult> results) {
		printExplanations(results, JobResult.COMPLETE, 1);
		printExplanations(results, JobResult.FAILED, 1);
		printExplanations(results, JobResult.UNKNOWN, 1);
		printExplanations(results, JobResult.NONE, MAX_SHOWN);
		for (String owner : List.of("guild", "thornbury")) {
			Optional<JsonNode> failures = this.client.read(ENTRY_OPERATORS, "/failures/" + owner);
			this.out.println("demo: entry-1 accounts for " + failures.map(JsonNode::size).orElse(0) + " failures of "
					+ owner + ", the first:");
			failures.ifPresent((list) -> {
				for (int i = 0; i < Math.min(MAX_SHOWN, list.size()); i++) {
					this.out.println("demo:   " + list.get(i));
				}
			});
		}
		Map<String, Integer> eventCounts = new TreeMap<>();
		this.client.read(ENTRY_OPERATORS, "/events")
			.ifPresent((events) -> events.forEach((event) -> eventCounts
				.merge(event.path("number").asText() + " " + event.path("name").asText(), 1, Integer::sum)));
		this.out.println("demo: events at entry-1: " + eventCounts);
		this.client.read(ENTRY_OPERATORS, "/status").ifPresent((status) -> this.out.println("demo: entry-1 " + status));
	}

	private void printExplanations(List<JobResult> results, String outcome, int limit) {
		results.stream()
			.filter((result) -> result.outcome().equals(outcome))
			.flatMap((result) -> this.client
				.read(ENTRY_OPERATORS, "/explain/" + result.job().owner() + "/" + result.id())
				.stream())
			.limit(limit)
			.forEach((explanation) -> this.out
				.println("demo: entry-1 explains a job that is " + outcome + ": " + explanation));
	}

}
