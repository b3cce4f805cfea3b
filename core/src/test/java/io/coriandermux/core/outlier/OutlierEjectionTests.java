package io.coriandermux.core.outlier;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against ejecting most of a pool, and against ejecting endpoints that do not fail
 * more often than the others.
 */
class OutlierEjectionTests {

	private final OutlierEjection ejection = new OutlierEjection();

	private final List<EndpointHealth> pool = new ArrayList<>();

	OutlierEjectionTests() {
		for (int i = 0; i < 10; i++) {
			this.pool.add(new EndpointHealth());
		}
	}

	@Example
	void ejectsAtMostAThirdOfThePool() {
		for (int round = 0; round < 50; round++) {
			for (int i = 0; i < 10; i++) {
				this.ejection.onTaskEnded(this.pool.get(i), () -> this.pool, i >= 5, 0);
			}
		}
		assertThat(this.pool.stream().filter(EndpointHealth::isEjected).count()).isEqualTo(3);
	}

	@Example
	void ejectsNoEndpointIfAllFailAtTheSameRate() {
		for (int round = 0; round < 50; round++) {
			this.pool.forEach((health) -> this.ejection.onTaskEnded(health, () -> this.pool, false, 0));
		}
		assertThat(this.pool).noneMatch(EndpointHealth::isEjected);
	}

	@Example
	void readmitsAnEndpointAfterThreeSuccessfulProbes() {
		EndpointHealth failing = this.pool.get(0);
		while (!failing.isEjected()) {
			this.ejection.onTaskEnded(failing, () -> this.pool, false, 0);
		}
		assertThat(failing.canAcceptTask(0)).isFalse();
		long probeNanos = 2_000_000_000L;
		for (int probe = 0; probe < 3; probe++) {
			assertThat(failing.canAcceptTask(probeNanos)).isTrue();
			failing.onTaskPlaced();
			assertThat(failing.canAcceptTask(probeNanos)).isFalse();
			this.ejection.onTaskEnded(failing, () -> this.pool, true, probeNanos);
		}
		assertThat(failing.isEjected()).isFalse();
	}

}
