package io.coriandermux.soak;

import java.util.ArrayList;
import java.util.List;

import io.coriandermux.core.id.Moment;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a soak that overlooks the violation of a guarantee.
 */
class GuaranteeCheckerTests {

	private static final String TASK = "job.0.0.0";

	private long millis = 1;

	private final List<String> trace = new ArrayList<>();

	private final GuaranteeChecker checker = new GuaranteeChecker(
			() -> new Moment(this.millis * 1_000_000, this.millis), this.trace::add);

	GuaranteeCheckerTests() {
		this.checker.onSubmitted("job", 1, "50");
	}

	@Example
	void acceptsARunAfterTheEndOfThePreviousOne() {
		this.checker.onRunStarted("a", TASK, 1, "50", -1);
		this.checker.onRunEnded("a", TASK, 1, "lapsed");
		this.checker.onRunStarted("b", TASK, 2, "50", -1);
		this.checker.onRunEnded("b", TASK, 2, "done");
		this.checker.onSubmissionEnded("job", false, true);
		assertThat(this.checker.violations()).isEmpty();
	}

	@Example
	void reportsConcurrentRunsOfATask() {
		this.checker.onRunStarted("a", TASK, 1, "50", -1);
		this.checker.onRunStarted("b", TASK, 2, "50", -1);
		assertThat(this.checker.violations()).singleElement().asString().startsWith("TWICE");
		assertThat(this.trace).element(2).asString().startsWith("TWICE");
	}

	@Example
	void describesConcurrentRunsAsTheRecordsOfIncidentsDo() {
		this.checker.onRunStarted("a", TASK, 1, "50", -1);
		this.millis += 27;
		this.checker.onRunStarted("b", TASK, 2, "50", -1);
		this.millis += 88;
		this.checker.onRunEnded("a", TASK, 1, "done");
		this.checker.onOrder("b", "end of " + TASK + " run 1 acknowledged after 700 ms");
		this.checker.onOrder("a", "end of " + TASK + " run 1 acknowledged after 1010 ms");
		assertThat(this.checker.overlaps()).containsExactly("overlap of " + TASK
				+ ": b run 2 starts 27 ms after a run 1, which ended done 88 ms later, acknowledged after 1010 ms");
	}

	@Example
	void reportsStartsThatNoCallerRequested() {
		this.checker.onRunStarted("a", "other.0.0.0", 1, "50", -1);
		this.checker.onRunStarted("a", TASK, 1, "60", -1);
		assertThat(this.checker.violations()).hasSize(2).allMatch((line) -> line.startsWith("UNASKED"));
	}

	@Example
	void reportsARefusalAfterAStart() {
		this.checker.onRunStarted("a", TASK, 1, "50", -1);
		this.checker.onSubmissionEnded("job", true, false);
		assertThat(this.checker.violations()).singleElement().asString().startsWith("REFUSED");
	}

	@Example
	void reportsAStartAfterARefusal() {
		this.checker.onSubmissionEnded("job", true, false);
		this.checker.onRunStarted("a", TASK, 1, "50", -1);
		assertThat(this.checker.violations()).singleElement().asString().startsWith("REFUSED");
	}

	@Example
	void reportsAStartLongAfterTheSubmissionEnded() {
		this.checker.onSubmissionEnded("job", false, false);
		this.millis += 3_100;
		this.checker.onRunStarted("a", TASK, 1, "50", -1);
		assertThat(this.checker.violations()).singleElement().asString().startsWith("UNASKED");
	}

	@Example
	void reportsACompletedAnswerBeforeAllTasksAreDone() {
		this.checker.onRunStarted("a", TASK, 1, "50", -1);
		this.checker.onSubmissionEnded("job", false, true);
		assertThat(this.checker.violations()).singleElement().asString().startsWith("WHOLE");
	}

	@Example
	void reportsAStartAtADrainingEndpoint() {
		this.checker.onRunStarted("a", TASK, 1, "50", 2_500);
		assertThat(this.checker.violations()).singleElement().asString().startsWith("DRAIN");
	}

}
