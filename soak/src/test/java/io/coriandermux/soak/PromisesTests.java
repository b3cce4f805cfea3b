package io.coriandermux.soak;

import io.coriandermux.core.id.Moment;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a soak that overlooks a broken promise.
 */
class PromisesTests {

	private static final String TASK = "job.0.0.0";

	private long millis = 1;

	private final Promises promises = new Promises(() -> new Moment(this.millis * 1_000_000, this.millis));

	PromisesTests() {
		this.promises.handedIn("job", 1, "50");
	}

	@Example
	void acceptsARunAfterTheEndOfTheFormerOne() {
		this.promises.onRunStarted("a", TASK, 1, "50", -1);
		this.promises.onRunEnded("a", TASK, 1, "lapsed");
		this.promises.onRunStarted("b", TASK, 2, "50", -1);
		this.promises.onRunEnded("b", TASK, 2, "done");
		this.promises.closed("job", false, true);
		assertThat(this.promises.broken()).isEmpty();
	}

	@Example
	void seesTwoRunsOfATaskAtTheSameTime() {
		this.promises.onRunStarted("a", TASK, 1, "50", -1);
		this.promises.onRunStarted("b", TASK, 2, "50", -1);
		assertThat(this.promises.broken()).singleElement().asString().startsWith("TWICE");
	}

	@Example
	void seesAStartThatNobodyAskedFor() {
		this.promises.onRunStarted("a", "other.0.0.0", 1, "50", -1);
		this.promises.onRunStarted("a", TASK, 1, "60", -1);
		assertThat(this.promises.broken()).hasSize(2).allMatch((line) -> line.startsWith("UNASKED"));
	}

	@Example
	void seesARefusalThatIsNotTrue() {
		this.promises.onRunStarted("a", TASK, 1, "50", -1);
		this.promises.closed("job", true, false);
		assertThat(this.promises.broken()).singleElement().asString().startsWith("REFUSED");
	}

	@Example
	void seesAStartAfterARefusal() {
		this.promises.closed("job", true, false);
		this.promises.onRunStarted("a", TASK, 1, "50", -1);
		assertThat(this.promises.broken()).singleElement().asString().startsWith("REFUSED");
	}

	@Example
	void seesAStartLongAfterTheCallerWasGone() {
		this.promises.closed("job", false, false);
		this.millis += 3_100;
		this.promises.onRunStarted("a", TASK, 1, "50", -1);
		assertThat(this.promises.broken()).singleElement().asString().startsWith("UNASKED");
	}

	@Example
	void seesAnAnswerBeforeAllTasksAreDone() {
		this.promises.onRunStarted("a", TASK, 1, "50", -1);
		this.promises.closed("job", false, true);
		assertThat(this.promises.broken()).singleElement().asString().startsWith("WHOLE");
	}

	@Example
	void seesWorkForALeavingEndpoint() {
		this.promises.onRunStarted("a", TASK, 1, "50", 2_500);
		assertThat(this.promises.broken()).singleElement().asString().startsWith("DRAIN");
	}

}
