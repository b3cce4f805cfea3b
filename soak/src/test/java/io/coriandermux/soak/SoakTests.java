package io.coriandermux.soak;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against violations of the guarantees by the real processes under injected
 * faults.
 */
class SoakTests {

	@Example
	void realProcessesKeepTheGuaranteesUnderFaults() throws Exception {
		assertThat(Soak.runSeed(20_261_204, 12_000, new SoakOptions(2, 3, FaultRange.SINGLE, SiteCallers.Load.CLOSED)))
			.isEmpty();
	}

}
