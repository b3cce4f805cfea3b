package io.coriandermux.soak;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against cold runs whose faults do not overlap, come late, or outlast the run.
 */
class ColdPlanTests {

	@Example
	void theFaultsOfTheStoreOverlap() {
		List<Fault> plan = ColdPlan.STORE.draw(new Random(1), 20_000, 3, 11);
		assertThat(plan).extracting(Fault::kind)
			.startsWith(Fault.Kind.BURST, Fault.Kind.UNANSWERED_ORDERS, Fault.Kind.REFUSE_STORE);
		assertThat(plan.subList(0, 3)).allMatch((fault) -> fault.atMillis() < 3_000)
			.allMatch((fault) -> fault.atMillis() + fault.forMillis() > 4_000);
	}

	@Example
	void eachProcessIsAskedToEndOnce() {
		Set<String> stopped = new HashSet<>();
		List<Fault> plan = ColdPlan.ROLL.draw(new Random(1), 40_000, 3, 11);
		plan.stream()
			.filter((fault) -> fault.kind().isPlanned())
			.forEach((fault) -> assertThat(stopped.add(fault.kind() + " " + fault.target())).isTrue());
		assertThat(stopped).hasSize(14).contains("STOP_ENTRY 2", "STOP_GUARD 10");
	}

	@Example
	void faultsEndWithTheRun() {
		for (ColdPlan plan : List.of(ColdPlan.STORE, ColdPlan.ROLL, ColdPlan.CUT, ColdPlan.LEAVE)) {
			assertThat(plan.draw(new Random(1), 5_000, 3, 11)).isNotEmpty()
				.allMatch((fault) -> fault.atMillis() + fault.forMillis() <= 5_000);
		}
	}

}
