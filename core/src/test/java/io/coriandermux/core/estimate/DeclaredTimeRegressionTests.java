package io.coriandermux.core.estimate;

import java.util.SplittableRandom;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against declared run times that are ignored although they predict the run times
 * of a route, and against declared run times that are believed although they do not.
 */
class DeclaredTimeRegressionTests {

	private static final int RUNS = 400;

	private static final double TYPICAL_NANOS = 200e6;

	private final SplittableRandom random = new SplittableRandom(7);

	private final DeclaredTimeRegression regression = new DeclaredTimeRegression();

	@Example
	void followsDeclarationsThatAreProportionalToTheRunTimes() {
		observeRuns(0.6, 0, 1);
		assertThat(this.regression.predictNanos(8 * TYPICAL_NANOS) / TYPICAL_NANOS).isCloseTo(8, within(0.8));
		assertThat(this.regression.logSpread()).isLessThan(0.1);
	}

	@Example
	void correctsDeclarationsThatAreTooLongByTheSameFactor() {
		observeRuns(0.6, 0, 10);
		assertThat(this.regression.predictNanos(10 * TYPICAL_NANOS) / TYPICAL_NANOS).isCloseTo(1, within(0.1));
	}

	@Example
	void ignoresDeclarationsThatAreUnrelatedToTheRunTimes() {
		observeRuns(0, 1.5, 1);
		assertThat(this.regression.predictNanos(8 * TYPICAL_NANOS) / TYPICAL_NANOS).isCloseTo(1, within(0.25));
	}

	@Example
	void trustsDeclarationsThatAreAsUncertainAsTheRunTimesByHalf() {
		observeRuns(0.5, 0.5, 1);
		double predicted = this.regression.predictNanos(4 * TYPICAL_NANOS) / TYPICAL_NANOS;
		assertThat(predicted).isCloseTo(2, within(0.4));
	}

	private void observeRuns(double runSpread, double declaredError, double declaredFactor) {
		for (int i = 0; i < RUNS; i++) {
			double runNanos = TYPICAL_NANOS * Math.exp(runSpread * this.random.nextGaussian());
			double error = Math.exp(declaredError * this.random.nextGaussian());
			this.regression.add(runNanos * error * declaredFactor, runNanos);
		}
	}

}
