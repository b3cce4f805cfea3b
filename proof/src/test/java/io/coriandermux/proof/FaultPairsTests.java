package io.coriandermux.proof;

import io.coriandermux.proof.fault.PairDraw;
import io.coriandermux.proof.trace.TraceRun;
import io.coriandermux.proof.world.NodeLogic;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two faults that together break a guarantee.
 */
class FaultPairsTests {

	@Property(seed = "20261204", tries = 120)
	void aDrawnPairOfFaultsBreaksNoGuarantee(@ForAll long seed) {
		PairDraw draw = PairDraw.of(seed);
		TraceRun run = TraceRun.of(draw.trace(), new NodeLogic());
		assertThat(run.violations()).as(() -> draw.trace().format()).isEmpty();
	}

	@Example
	void theSameSeedGivesTheSameRun() {
		PairDraw draw = PairDraw.of(4711);
		TraceRun first = TraceRun.of(draw.trace(), new NodeLogic());
		TraceRun second = TraceRun.of(PairDraw.of(4711).trace(), new NodeLogic());
		assertThat(second.outcomes()).isEqualTo(first.outcomes());
		assertThat(second.journal().all()).hasSameSizeAs(first.journal().all());
	}

	/**
	 * Seeds of pairs that broke a guarantee once: a heartbeat crossed to another entry
	 * confirmed a home (50101, 51525), a job that was cancelled while its last tasks
	 * waited was completed by its next home (52374), a request that waited for its home
	 * was refused by a shutdown (53668).
	 */
	@Example
	void pairsThatOnceBrokeAGuaranteeKeepIt() {
		for (long seed : new long[] { 50_101, 51_525, 52_374, 53_668 }) {
			PairDraw draw = PairDraw.of(seed);
			TraceRun run = TraceRun.of(draw.trace(), new NodeLogic());
			assertThat(run.violations()).as(() -> draw.trace().format()).isEmpty();
		}
	}

}
