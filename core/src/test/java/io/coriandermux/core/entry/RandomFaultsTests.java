package io.coriandermux.core.entry;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Guards against a second start of a task, a false {@code not_run}, a partial answer or
 * the answer of another job, and a request without a reply, under faults in random order.
 */
class RandomFaultsTests {

	@Property(seed = "4711", tries = 100)
	void noTaskStartsTwiceAndNoReplyIsWrong(@ForAll @Size(60) List<@IntRange(max = 99_999) Integer> steps) {
		new FaultScenario().run(steps);
	}

}
