package io.coriandermux.soak;

import java.util.Optional;

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

	// SOAK says that the machine was too busy for the soak itself, which is no fault of
	// the
	// processes.
	@Example
	void coldProcessesKeepTheGuaranteesAtTheFullRate() throws Exception {
		assertThat(Soak.runSeed(20_261_206, 5_000, new SoakOptions(2, 3, FaultRange.SINGLE,
				new SiteCallers.Load(20, 1_500, 65, true), Optional.of(ColdPlan.CUT), 0)))
			.allMatch((line) -> line.startsWith("SOAK"));
	}

}
