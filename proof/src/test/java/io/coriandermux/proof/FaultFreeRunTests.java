package io.coriandermux.proof;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.coriandermux.proof.simulation.CoreLogicFactory;
import io.coriandermux.proof.trace.Trace;
import io.coriandermux.proof.trace.TraceEvent;
import io.coriandermux.proof.trace.TraceRun;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a simulation in which jobs or edits fail although no fault is injected.
 */
class FaultFreeRunTests {

	@Example
	void eachJobCompletesAndTheEditIsAppliedWhenNothingFails() {
		List<TraceEvent> events = new ArrayList<>();
		events.add(TraceEvent.at(2000, "submit", "name=first form=issued tasks=7 run=200"));
		events.add(TraceEvent.at(2000, "submit", "name=second owner=configurator form=issued tasks=7 run=200"));
		events.add(TraceEvent.at(2100, "edit", "name=edit-a quota=5"));
		TraceRun run = TraceRun.execute(new Trace(1, 60_000, events, Map.of()), new CoreLogicFactory());
		assertThat(run.outcomes()).containsEntry("first", "complete/ok")
			.containsEntry("second", "complete/ok")
			.containsEntry("edit-a", "applied");
		assertThat(run.violations()).isEmpty();
	}

}
