package io.coriandermux.core.dispatch;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against a probability that ignores that the objective grows with the run time.
 */
class ResponseObjectiveTests {

	private static final double NANOS_PER_MILLI = 1e6;

	private final ResponseObjective objective = new ResponseObjective(1.6, millis(50), millis(200), 0.5);

	@Example
	void isCertainWhileTheFixedPartIsNotUsedUpAtAFastEndpoint() {
		assertThat(this.objective.probabilityOnTime(0.8, millis(50))).isEqualTo(1);
	}

	@Example
	void isImpossibleAtASlowEndpointWhenTheFixedPartIsUsedUp() {
		assertThat(this.objective.probabilityOnTime(2, millis(60))).isZero();
	}

	@Example
	void dependsOnWhetherTheTaskIsLongEnoughAtAFastEndpoint() {
		// The limit is a run time of (210 ms - 50 ms) / (1.6 - 0.8), which is the median.
		assertThat(this.objective.probabilityOnTime(0.8, millis(210))).isCloseTo(0.5, within(1e-6));
		assertThat(this.objective.probabilityOnTime(0.8, millis(700))).isLessThan(0.05);
	}

	@Example
	void dependsOnWhetherTheTaskIsShortEnoughAtASlowEndpoint() {
		// The limit is a run time of (50 ms - 10 ms) / (1.8 - 1.6), which is the median.
		assertThat(this.objective.probabilityOnTime(1.8, millis(10))).isCloseTo(0.5, within(1e-6));
		assertThat(this.objective.probabilityOnTime(4, millis(10))).isLessThan(0.01);
	}

	private static long millis(long value) {
		return (long) (value * NANOS_PER_MILLI);
	}

}
