package io.coriandermux.standins.demo;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a demo that passes although a task was started twice, a reported outcome
 * contradicts the counted starts, or a job received the answer of another job.
 */
class DemoReportTests {

	private static final String ANSWER = "{\"owner\":\"guild\",\"job\":\"j\",\"task\":\"0\"}";

	@Example
	void passesWhenEveryTaskStartedOnce() {
		DemoReport report = report(result("complete", ANSWER), Map.of("guild/j/0", 1));
		assertThat(report.hasPassed()).isTrue();
		assertThat(report.summary())
			.isEqualTo("demo: 1 jobs, 1 complete, 0 failed, 0 not run, 0 unknown, 0 double starts");
	}

	@Example
	void failsAfterADoubleStart() {
		DemoReport report = report(result("failed", ""), Map.of("guild/j/0", 2));
		assertThat(report.hasPassed()).isFalse();
		assertThat(report.summary()).endsWith("1 double starts");
	}

	@Example
	void failsWhenAJobHasNoOutcome() {
		assertThat(report(result("undecided", ""), Map.of()).hasPassed()).isFalse();
	}

	@Example
	void findsFalseOutcomesAndAnswersOfOtherJobs() {
		assertThat(report(result("not_run", ""), Map.of("guild/j/0", 1)).contradictions()).hasSize(1);
		assertThat(report(result("complete", ANSWER), Map.of()).contradictions()).hasSize(1);
		assertThat(report(result("complete", ANSWER.replace("j\"", "k\"")), Map.of("guild/j/0", 1)).contradictions())
			.hasSize(1);
		DemoReport withDifferentResubmission = new DemoReport(List.of(result("complete", ANSWER)),
				List.of(result("failed", "")), Map.of("guild/j/0", 1));
		assertThat(withDifferentResubmission.contradictions()).hasSize(1);
	}

	private static DemoReport report(JobResult result, Map<String, Integer> starts) {
		return new DemoReport(List.of(result), List.of(), starts);
	}

	private static JobResult result(String outcome, String body) {
		ObjectMapper json = new ObjectMapper();
		try {
			DemoJob job = DemoJob
				.of(json.readTree("{\"owner\":\"guild\",\"name\":\"a\",\"wave\":1,\"tasks\":[{\"path\":\"/\"}]}"));
			return JobResult.ofReply(job, "j",
					json.createObjectNode()
						.put("outcome", outcome)
						.set("tasks", json.createArrayNode().add(json.createObjectNode().put("body", body))),
					1);
		}
		catch (JsonProcessingException ex) {
			throw new AssertionError(ex);
		}
	}

}
