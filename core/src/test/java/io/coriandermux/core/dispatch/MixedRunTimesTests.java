package io.coriandermux.core.dispatch;

import java.util.Set;

import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Pattern: batches of very different run times wait for the same endpoint. Guards against
 * short work that waits behind long work, and against long work that starves.
 */
class MixedRunTimesTests {

	private static final int TICK_MILLIS = 10;

	private final DispatcherFixture fixture = DispatcherFixture.withGuards("g1");

	@Example
	void placesAShortBatchBeforeALongOneWhoseLatestStartIsEarlier() {
		fillEndpoint();
		submit("long", 300);
		waitWhileFull(150);
		submit("short", 100);
		freeOneSlot();
		assertThat(lastStart().batch().value()).isEqualTo("short");
	}

	@Example
	void placesALongBatchThatHasWaitedForSeveralTimesItsRunTime() {
		fillEndpoint();
		submit("long", 300);
		waitWhileFull(160);
		submit("shorter", 290);
		freeOneSlot();
		assertThat(lastStart().batch().value()).isEqualTo("long");
	}

	private void fillEndpoint() {
		submit("first", 300);
		submit("second", 300);
		assertThat(this.fixture.starts()).hasSize(2);
	}

	private void waitWhileFull(int millis) {
		for (int elapsed = 0; elapsed < millis; elapsed += TICK_MILLIS) {
			this.fixture.advance(TICK_MILLIS);
			this.fixture.reportLoad("g1", DispatcherFixture.CAPACITY, ResourceAmounts.NONE, Set.of(), 2);
		}
	}

	private void submit(String id, long declaredMillis) {
		this.fixture.submit(id, new TaskGroup(1, DispatcherFixture.NEEDS, declaredMillis, "", "", 0));
	}

	private void freeOneSlot() {
		this.fixture.endRun("g1", this.fixture.starts().get(0), RunOutcome.DONE);
		this.fixture.reportLoad("g1", DispatcherFixture.CAPACITY, DispatcherFixture.NEEDS, Set.of(), 2);
	}

	private RunId lastStart() {
		return this.fixture.starts().get(this.fixture.starts().size() - 1);
	}

}
