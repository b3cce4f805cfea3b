package io.coriandermux.core.estimate;

import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.RouteName;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against estimates that rely on declared run times or on single very long runs.
 */
class RunTimeEstimatorTests {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final RouteName route = new RouteName("score");

	private final OwnerId owner = new OwnerId("guild");

	private final RunTimeEstimator estimator = new RunTimeEstimator();

	@Example
	void usesTheDeclaredRunTimeUntilRunTimesAreObserved() {
		assertThat(this.estimator.estimate(this.route, this.owner, 9_000).expectedNanos())
			.isEqualTo(9_000 * NANOS_PER_MILLI);
		for (int i = 0; i < 8; i++) {
			this.estimator.observe(this.route, this.owner, 90 * NANOS_PER_MILLI);
		}
		assertThat(this.estimator.estimate(this.route, this.owner, 9_000).expectedNanos())
			.isBetween(75 * NANOS_PER_MILLI, 105 * NANOS_PER_MILLI);
	}

	@Example
	void rareLongRunsHardlyAffectTheEstimate() {
		for (int i = 1; i <= 200; i++) {
			this.estimator.observe(this.route, this.owner, ((i % 50 == 0) ? 20_000 : 100) * NANOS_PER_MILLI);
		}
		assertThat(this.estimator.estimate(this.route, this.owner, 0).expectedNanos()).isBetween(80 * NANOS_PER_MILLI,
				130 * NANOS_PER_MILLI);
	}

}
