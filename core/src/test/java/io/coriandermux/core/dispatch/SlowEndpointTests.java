package io.coriandermux.core.dispatch;

import java.util.List;
import java.util.Set;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.message.RunEnded;
import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Pattern: under heavy load only a slow endpoint is free. Guards against a long task that
 * starts there and misses its objective although a fast endpoint will be free in time,
 * and against a slow endpoint that stays idle while short tasks wait.
 */
class SlowEndpointTests {

	private static final ResourceAmounts NO_ROOM = new ResourceAmounts(1_000, 1000, 0);

	private static final long FAST_MILLIS = 10;

	private static final long SLOW_MILLIS = 30;

	private final DispatcherFixture fixture = DispatcherFixture.withGuards("fast", "slow");

	private int order;

	@Example
	void holdsALongTaskBackUntilAFastEndpointIsFree() {
		learnSpeeds();
		reportFree("fast", NO_ROOM);
		submit("long", 60_000);
		assertThat(this.fixture.starts("slow")).noneMatch((run) -> run.batch().value().equals("long"));
		reportFree("fast", DispatcherFixture.CAPACITY);
		assertThat(this.fixture.starts("fast")).anyMatch((run) -> run.batch().value().equals("long"));
	}

	@Example
	void startsAShortTaskAtTheSlowEndpoint() {
		learnSpeeds();
		reportFree("fast", NO_ROOM);
		submit("short", 20);
		assertThat(this.fixture.starts("slow")).anyMatch((run) -> run.batch().value().equals("short"));
	}

	@Example
	void aLongTaskThatWaitsForAFastEndpointDoesNotHoldUpAShortOne() {
		learnSpeeds();
		reportFree("fast", NO_ROOM);
		submit("long", 60_000);
		this.fixture.advance(20);
		reportFree("slow", NO_ROOM);
		submit("short", 20);
		reportFree("slow", DispatcherFixture.CAPACITY);
		assertThat(this.fixture.starts("slow")).anyMatch((run) -> run.batch().value().equals("short"))
			.noneMatch((run) -> run.batch().value().equals("long"));
	}

	@Example
	void aStartedBatchThatWaitsForAFastEndpointDoesNotHoldUpAShortOne() {
		learnSpeeds();
		reportFree("fast", DispatcherFixture.NEEDS);
		this.fixture.submit("long", new TaskGroup(2, DispatcherFixture.NEEDS, 60_000, "", "", 0));
		assertThat(this.fixture.starts("fast")).anyMatch((run) -> run.batch().value().equals("long"));
		submit("short", 20);
		assertThat(this.fixture.starts("slow")).anyMatch((run) -> run.batch().value().equals("short"));
	}

	// Each batch has a task at both endpoints, which shows how their speeds differ.
	private void learnSpeeds() {
		for (int i = 0; i < 40; i++) {
			String id = "learn" + i;
			reportFree("fast", DispatcherFixture.NEEDS);
			reportFree("slow", DispatcherFixture.NEEDS);
			this.fixture.submit(id, new TaskGroup(2, DispatcherFixture.NEEDS, SLOW_MILLIS, "", "", 0));
			endRuns("fast", id, FAST_MILLIS);
			endRuns("slow", id, SLOW_MILLIS);
		}
		reportFree("slow", DispatcherFixture.CAPACITY);
	}

	private void endRuns(String guard, String batch, long millis) {
		List<RunId> runs = this.fixture.starts(guard)
			.stream()
			.filter((run) -> run.batch().value().equals(batch))
			.toList();
		runs.forEach((run) -> this.fixture.dispatcher.onMessage(new GuardId(guard), DispatcherFixture.INCARNATION,
				new RunEnded(run, RunOutcome.DONE, millis), this.fixture.now()));
	}

	private void submit(String id, long declaredMillis) {
		this.fixture.submit(id, new TaskGroup(1, DispatcherFixture.NEEDS, declaredMillis, "", "", 0));
	}

	private void reportFree(String guard, ResourceAmounts free) {
		this.order += 100;
		this.fixture.reportLoad(guard, DispatcherFixture.CAPACITY, free, Set.of(), this.order);
	}

}
