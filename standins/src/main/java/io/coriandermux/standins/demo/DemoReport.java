package io.coriandermux.standins.demo;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Compares the outcomes that callers received with the starts that the endpoints counted.
 */
final class DemoReport {

	private final List<JobResult> results;

	private final List<JobResult> resubmissions;

	private final Map<String, Integer> startCounts;

	private final ObjectMapper json = new ObjectMapper();

	/**
	 * Creates a report.
	 * @param results the results of the submissions, one for each job
	 * @param resubmissions the results of the resubmissions through the other entry
	 * @param startCounts the number of starts by {@code owner/job/task}
	 */
	DemoReport(List<JobResult> results, List<JobResult> resubmissions, Map<String, Integer> startCounts) {
		this.results = results;
		this.resubmissions = resubmissions;
		this.startCounts = startCounts;
	}

	List<JobResult> results() {
		return this.results;
	}

	long countOutcome(String outcome) {
		return this.results.stream().filter((result) -> result.outcome().equals(outcome)).count();
	}

	long doublyStartedTasks() {
		return this.startCounts.values().stream().filter((count) -> count > 1).count();
	}

	/**
	 * Returns the contradictions between reported outcomes, counted starts, and answers.
	 * @return a description of each contradiction
	 */
	List<String> contradictions() {
		List<String> found = new ArrayList<>();
		this.results.forEach((result) -> findContradictions(result, found));
		for (JobResult result : this.resubmissions) {
			findContradictions(result, found);
			this.results.stream()
				.filter((first) -> first.job().equals(result.job()) && !first.outcome().equals(result.outcome()))
				.forEach((first) -> found.add("resubmission of " + result.job() + " was told " + result.outcome()
						+ ", the submission " + first.outcome()));
		}
		return found;
	}

	void print(PrintStream out) {
		this.results.forEach((result) -> out.println("demo: job " + result));
		out.println("demo: " + this.resubmissions.size() + " jobs were also submitted through the other entry");
		int total = this.startCounts.values().stream().mapToInt(Integer::intValue).sum();
		int highest = this.startCounts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
		out.println("demo: " + this.startCounts.size() + " tasks started, " + total + " starts, at most " + highest
				+ " of one task");
		this.startCounts.forEach((task, count) -> {
			if (count > 1) {
				out.println("demo: task " + task + " started " + count + " times");
			}
		});
		contradictions().forEach((text) -> out.println("demo: untrue: " + text));
	}

	String summary() {
		return "demo: " + this.results.size() + " jobs, " + countOutcome(JobResult.COMPLETE) + " complete, "
				+ countOutcome(JobResult.FAILED) + " failed, " + countOutcome(JobResult.NOT_RUN) + " not run, "
				+ countOutcome(JobResult.UNKNOWN) + " unknown, " + doublyStartedTasks() + " double starts";
	}

	boolean hasPassed() {
		return doublyStartedTasks() == 0 && countOutcome(JobResult.NONE) == 0 && contradictions().isEmpty()
				&& this.results.stream().allMatch(JobResult::isFinal);
	}

	private void findContradictions(JobResult result, List<String> found) {
		for (int i = 0; i < result.job().tasks(); i++) {
			String task = result.job().owner() + "/" + result.id() + "/" + i;
			boolean started = this.startCounts.containsKey(task);
			if (result.outcome().equals(JobResult.NOT_RUN) && started) {
				found.add(result.job() + " was told not_run, but task " + i + " started");
			}
			if (result.outcome().equals(JobResult.COMPLETE) && !started) {
				found.add(result.job() + " was told complete, but task " + i + " did not start");
			}
			if (result.outcome().equals(JobResult.COMPLETE) && !isOwnAnswer(result, i)) {
				found.add(result.job() + " did not get the answer of its own task " + i);
			}
		}
	}

	private boolean isOwnAnswer(JobResult result, int index) {
		try {
			JsonNode body = this.json.readTree(result.reply().path("tasks").path(index).path("body").asText());
			return body.path("owner").asText().equals(result.job().owner())
					&& body.path("job").asText().equals(result.id())
					&& body.path("task").asText().equals(Integer.toString(index));
		}
		catch (JsonProcessingException ex) {
			return false;
		}
	}

}
