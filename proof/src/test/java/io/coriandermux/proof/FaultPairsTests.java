package io.coriandermux.proof;

import io.coriandermux.proof.fault.RandomFaultPair;
import io.coriandermux.proof.simulation.CoreLogicFactory;
import io.coriandermux.proof.trace.TraceRun;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against pairs of faults that break a guarantee only in combination.
 */
class FaultPairsTests {

	@Property(seed = "20261204", tries = 120)
	void aRandomPairOfFaultsBreaksNoGuarantee(@ForAll long seed) {
		RandomFaultPair pair = RandomFaultPair.of(seed);
		TraceRun run = TraceRun.execute(pair.trace(), new CoreLogicFactory());
		assertThat(run.violations()).as(() -> pair.trace().format()).isEmpty();
	}

	@Example
	void theSameSeedProducesTheSameRun() {
		RandomFaultPair pair = RandomFaultPair.of(4711);
		TraceRun first = TraceRun.execute(pair.trace(), new CoreLogicFactory());
		TraceRun second = TraceRun.execute(RandomFaultPair.of(4711).trace(), new CoreLogicFactory());
		assertThat(second.outcomes()).isEqualTo(first.outcomes());
		assertThat(second.journal().all()).hasSameSizeAs(first.journal().all());
	}

	/**
	 * Guards against the return of bugs found with these seeds: a heartbeat delivered to
	 * the wrong entry confirmed a home (50101, 51525); a job cancelled while its last
	 * tasks were queued was completed by its next home (52374); a shutdown refused a
	 * request that was waiting for its home (53668).
	 */
	@Example
	void seedsOfFixedBugsBreakNoGuarantee() {
		for (long seed : new long[] { 50_101, 51_525, 52_374, 53_668 }) {
			RandomFaultPair pair = RandomFaultPair.of(seed);
			TraceRun run = TraceRun.execute(pair.trace(), new CoreLogicFactory());
			assertThat(run.violations()).as(() -> pair.trace().format()).isEmpty();
		}
	}

}
