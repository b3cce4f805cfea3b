package io.coriandermux.cli;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a pattern that the benchmark leaves out, and against a run without runs.
 */
class BenchBatchCommandTests {

	@Example
	void printsTheFiguresOfEachPattern() {
		CliRun run = CliRun.of("bench batch --runs 1");
		assertThat(run.code).isZero();
		assertThat(run.out).contains("waves", "overload at the crest", "late orders", "loss of power");
	}

	@Example
	void refusesLessThanOneRun() {
		assertThat(CliRun.of("bench batch --runs 0").code).isEqualTo(ExitCode.USAGE.number());
	}

}
