package io.coriandermux.bench.policy;

import java.io.IOException;

import io.coriandermux.bench.policy.PolicyBenchResult.WorkloadResult;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against figures that change between runs with the same seed, and against
 * policies that are compared on different arrivals.
 */
class PolicyBenchTests {

	private static final PolicyBenchOptions OPTIONS = new PolicyBenchOptions(3, 1, 20, 0.6, false);

	@Example
	void sameSeedGivesTheSameFigures() throws IOException {
		assertThat(PolicyBench.run(OPTIONS)).isEqualTo(PolicyBench.run(OPTIONS));
	}

	@Example
	void figuresOfTheReferencesAreOneAndNoPolicyBeatsTheIdeal() throws IOException {
		for (WorkloadResult result : PolicyBench.run(OPTIONS).workloads().values()) {
			assertThat(result.figures().get("central").responseVsCentral()).isEqualTo(1);
			assertThat(result.figures().get("ideal").peakOnTimeFraction()).isEqualTo(1);
			result.figures()
				.values()
				.forEach((figures) -> assertThat(figures.responseVsIdeal()).isGreaterThanOrEqualTo(1));
		}
	}

}
