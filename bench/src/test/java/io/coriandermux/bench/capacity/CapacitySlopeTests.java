package io.coriandermux.bench.capacity;

import java.util.List;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against capacity figures that are derived from a wrong fit.
 */
class CapacitySlopeTests {

	@Example
	void pointsOnALineGiveItsSlopeWithoutResidual() throws TooFewPointsException {
		CapacitySlope slope = CapacitySlope.fit("ledger", "task", "bytes",
				List.of(new CapacityPoint(1, 12), new CapacityPoint(2, 22), new CapacityPoint(4, 42)));
		assertThat(slope.slope()).isCloseTo(10, within(1e-9));
		assertThat(slope.intercept()).isCloseTo(2, within(1e-9));
		assertThat(slope.residual()).isCloseTo(0, within(1e-9));
	}

	@Example
	void pointOffTheLineIncreasesTheResidual() throws TooFewPointsException {
		CapacitySlope slope = CapacitySlope.fit("ledger", "task", "bytes",
				List.of(new CapacityPoint(0, 0), new CapacityPoint(1, 30), new CapacityPoint(2, 0)));
		assertThat(slope.residual()).isCloseTo(20.0 / 30, within(1e-9));
	}

	@Example
	void twoPointsAreRejected() {
		assertThatExceptionOfType(TooFewPointsException.class).isThrownBy(() -> CapacitySlope.fit("ledger", "task",
				"bytes", List.of(new CapacityPoint(1, 1), new CapacityPoint(2, 2))));
	}

}
