package io.coriandermux.proof.simulation;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a simulation whose faults are milder than the real ones: a lost answer,
 * a write conflict, a pause, a kill and a silent connection.
 */
class SimulationTests {

	private final Simulation simulation = new Simulation(1, new CoreLogicFactory());

	@Example
	void aWriteTakesEffectAlthoughItsAnswerIsLost() {
		List<String> results = new ArrayList<>();
		this.simulation.clock().runUntil(20 * SimulatedClock.NANOS_PER_MILLI);
		this.simulation.store().loseNextWriteAnswers(1);
		this.simulation.store()
			.call(null, true, () -> this.simulation.store().compareAndSwap("/key", 0, "value"),
					(done) -> results.add("answer"), () -> results.add("failure"));
		this.simulation.clock().runUntil(5000 * SimulatedClock.NANOS_PER_MILLI);
		assertThat(results).containsExactly("failure");
		assertThat(this.simulation.store().get("/key").value()).isEqualTo("value");
	}

	@Example
	void aWriteWithAStaleRevisionIsRefused() {
		long first = this.simulation.store().compareAndSwap("/key", 0, "one").revision();
		this.simulation.store().compareAndSwap("/key", first, "two");
		assertThat(this.simulation.store().compareAndSwap("/key", first, "three").revision()).isZero();
		assertThat(this.simulation.store().get("/key").value()).isEqualTo("two");
	}

	@Example
	void aPausedProcessDefersItsInputWhileItsClockAdvances() {
		SimulatedProcess process = this.simulation.process("e1");
		long before = process.moment().nanos();
		List<Long> handledAt = new ArrayList<>();
		process.pause(3000 * SimulatedClock.NANOS_PER_MILLI);
		process.deliver(() -> handledAt.add(process.moment().nanos()));
		this.simulation.clock().runUntil(2999 * SimulatedClock.NANOS_PER_MILLI);
		assertThat(handledAt).isEmpty();
		this.simulation.clock().runUntil(3000 * SimulatedClock.NANOS_PER_MILLI);
		assertThat(handledAt).containsExactly(before + 3000 * SimulatedClock.NANOS_PER_MILLI);
	}

	@Example
	void aKilledProcessDropsItsDeferredInput() {
		SimulatedProcess process = this.simulation.process("g1");
		List<String> handled = new ArrayList<>();
		process.pause(SimulatedClock.NANOS_PER_MILLI);
		process.deliver(() -> handled.add("message"));
		process.kill();
		this.simulation.clock().runUntil(100 * SimulatedClock.NANOS_PER_MILLI);
		assertThat(handled).isEmpty();
	}

	@Example
	void aSilentConnectionStaysSilentUntilItIsReplaced() {
		this.simulation.clock().runUntil(1000 * SimulatedClock.NANOS_PER_MILLI);
		Link link = this.simulation.network().link("e1", "g1");
		int generation = link.generation();
		link.silence();
		this.simulation.clock().runUntil(2000 * SimulatedClock.NANOS_PER_MILLI);
		assertThat(link.isSilent()).isTrue();
		this.simulation.clock().runUntil(4000 * SimulatedClock.NANOS_PER_MILLI);
		assertThat(link.isSilent()).isFalse();
		assertThat(link.generation()).isEqualTo(generation + 1);
	}

}
