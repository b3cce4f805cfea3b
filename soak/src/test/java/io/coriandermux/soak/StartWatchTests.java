package io.coriandermux.soak;

import java.util.ArrayList;
import java.util.List;

import io.coriandermux.platform.standin.RunObserver;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against faults that wait for a start and strike no guard, another one, or
 * several.
 */
class StartWatchTests {

	private final List<String> events = new ArrayList<>();

	private final List<Integer> struck = new ArrayList<>();

	private final StartWatch watch = new StartWatch(new RunObserver() {

		@Override
		public void onRunStarted(String endpoint, String task, long run, String spec, long drainingMillis) {
			StartWatchTests.this.events.add("start " + task);
		}

		@Override
		public void onRunEnded(String endpoint, String task, long run, String outcome) {
			StartWatchTests.this.events.add("end " + task);
		}

		@Override
		public void onOrder(String endpoint, String order) {
			StartWatchTests.this.events.add(order);
		}

	});

	@Example
	void tellsOneFaultOfTheNextStart() {
		this.watch.onRunStarted("endpoint-1-1", "before", 1, "50", -1);
		this.watch.awaitStart(this.struck::add);
		this.watch.onRunEnded("endpoint-1-1", "before", 1, "done");
		this.watch.onRunStarted("endpoint-12-3", "task", 1, "50", -1);
		this.watch.onRunStarted("endpoint-2-1", "later", 1, "50", -1);
		assertThat(this.struck).containsExactly(11);
	}

	@Example
	void passesAllEventsOn() {
		this.watch.onRunStarted("endpoint-1-1", "task", 1, "50", -1);
		this.watch.onOrder("endpoint-1-1", "order");
		this.watch.onRunEnded("endpoint-1-1", "task", 1, "done");
		assertThat(this.events).containsExactly("start task", "order", "end task");
	}

}
