package io.coriandermux.core.dispatch;

import io.coriandermux.core.run.BatchId;
import io.coriandermux.core.run.RunOutcome;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a batch that starts although its caller has cancelled it.
 */
class CancelledBatchTests {

	private static final BatchId BATCH = new BatchId("b1");

	private final DispatcherFixture fixture = DispatcherFixture.withGuards("g1");

	// Guards against a request that arrives once more after the cancel, and was accepted
	// as a new batch.
	@Example
	void aRequestForACancelledBatchIsAnsweredAsCancelled() {
		CallerRef first = cancelRunningBatch();
		this.fixture.advance(4_000);
		CallerRef late = this.fixture.submit("b1", 1);
		assertThat(this.fixture.verdict(first)).isEqualTo(BatchVerdict.CANCELLED);
		assertThat(this.fixture.verdict(late)).isEqualTo(BatchVerdict.CANCELLED);
		assertThat(this.fixture.starts()).hasSize(1);
	}

	@Example
	void aRequestIsAnsweredAsCancelledWhileTheRunsAreStopped() {
		CallerRef caller = this.fixture.submit("b1", 1);
		this.fixture.dispatcher.cancel(BATCH, this.fixture.now());
		CallerRef late = this.fixture.submit("b1", 1);
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.CANCELLED);
		assertThat(this.fixture.verdict(late)).isEqualTo(BatchVerdict.CANCELLED);
	}

	@Example
	void aSecondCancelAndAQueryFindTheCancelledBatch() {
		cancelRunningBatch();
		this.fixture.advance(4_000);
		assertThat(this.fixture.dispatcher.cancel(BATCH, this.fixture.now())).isEqualTo(BatchVerdict.CANCELLED);
		assertThat(this.fixture.dispatcher.state(BATCH)).isEqualTo(BatchVerdict.CANCELLED);
	}

	@Example
	void aBatchThatWasNotInProgressIsNotCancelled() {
		assertThat(this.fixture.dispatcher.cancel(BATCH, this.fixture.now())).isEqualTo(BatchVerdict.UNKNOWN);
		this.fixture.submit("b1", 1);
		assertThat(this.fixture.starts()).hasSize(1);
	}

	// Guards against memory that grows with each cancel.
	@Example
	void forgetsTheOldestCancelsBeyondItsLimits() {
		CancelledBatches cancelled = new CancelledBatches();
		for (int number = 0; number < 20_000; number++) {
			cancelled.add(new BatchId("b" + number), number);
		}
		assertThat(cancelled.contains(new BatchId("b0"))).isFalse();
		assertThat(cancelled.contains(new BatchId("b3616"))).isTrue();
		cancelled.add(BATCH, 121_000_000_000L);
		assertThat(cancelled.contains(new BatchId("b19999"))).isFalse();
		assertThat(cancelled.contains(BATCH)).isTrue();
	}

	private CallerRef cancelRunningBatch() {
		CallerRef caller = this.fixture.submit("b1", 1);
		this.fixture.dispatcher.cancel(BATCH, this.fixture.now());
		this.fixture.endRun("g1", this.fixture.starts().get(0), RunOutcome.STOPPED);
		return caller;
	}

}
