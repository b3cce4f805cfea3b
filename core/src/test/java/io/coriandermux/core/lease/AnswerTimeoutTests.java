package io.coriandermux.core.lease;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a timeout that is far above the usual answer times, and against one that
 * a slow endpoint exceeds with each answer.
 */
class AnswerTimeoutTests {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final AnswerTimeout timeout = new AnswerTimeout(150);

	@Example
	void isTheMaximumBeforeTheFirstAnswer() {
		assertThat(this.timeout.nanos()).isEqualTo(150 * NANOS_PER_MILLI);
	}

	@Example
	void fallsToTheMinimumWhenAnswersAreFast() {
		observe(1, 20);
		assertThat(this.timeout.nanos()).isEqualTo(20 * NANOS_PER_MILLI);
	}

	@Example
	void staysAboveTheAnswerTimesOfASlowEndpoint() {
		observe(40, 20);
		assertThat(this.timeout.nanos()).isBetween(40 * NANOS_PER_MILLI, 150 * NANOS_PER_MILLI);
	}

	@Example
	void neverExceedsTheMaximum() {
		observe(1, 5);
		observe(2_000, 5);
		assertThat(this.timeout.nanos()).isEqualTo(150 * NANOS_PER_MILLI);
	}

	private void observe(long millis, int times) {
		for (int i = 0; i < times; i++) {
			this.timeout.observe(millis * NANOS_PER_MILLI);
		}
	}

}
