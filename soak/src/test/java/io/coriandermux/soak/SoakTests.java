package io.coriandermux.soak;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against promises that the real processes break under faults from outside.
 */
class SoakTests {

	@Example
	void realProcessesKeepThePromisesUnderSeriesOfFaults() throws Exception {
		assertThat(Soak.play(20_261_204, 12_000, 2, 3)).isEmpty();
	}

}
