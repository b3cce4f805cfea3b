package io.coriandermux.bench.policy;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against actions that run out of order, so that the answer of a task would arrive
 * before its start.
 */
class VirtualTimeTests {

	@Example
	void actionsRunInOrderOfTimeThenOfScheduling() {
		VirtualTime time = new VirtualTime();
		List<String> order = new ArrayList<>();
		time.scheduleAt(20, () -> order.add("late"));
		time.scheduleAt(10, () -> {
			order.add("first");
			time.scheduleAfter(0, () -> order.add("third"));
		});
		time.scheduleAt(10, () -> order.add("second"));
		time.run();
		assertThat(order).containsExactly("first", "second", "third", "late");
	}

}
