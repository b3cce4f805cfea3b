package io.coriandermux.core.ledger;

import io.coriandermux.core.id.AttemptId;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.message.LedgerEntry;
import io.coriandermux.core.message.LedgerState;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that the ledger keeps the entry of every started task, since a lost entry would
 * permit a second start.
 */
class LedgerTests {

	private final Ledger ledger = new Ledger(100, 2_000);

	private TaskKey task(int index) {
		return new TaskKey(new JobKey(new OwnerId("guild"), "job"), index);
	}

	private void startAndEnd(int index, long endNanos) {
		this.ledger.recordStart(new LedgerEntry(task(index), new Partition(1), new AttemptId(1), 0, LedgerState.STARTED,
				new byte[0], false, 0));
		this.ledger.recordEnd(task(index), LedgerState.FINISHED, new byte[600], 1, new Moment(endNanos, 0));
	}

	@Example
	void byteLimitDropsBodiesOldestFirstAndKeepsEntries() {
		startAndEnd(0, 0);
		startAndEnd(1, 1);
		startAndEnd(2, 2);
		assertThat(this.ledger.find(task(0)).orElseThrow().bodyComplete()).isFalse();
		assertThat(this.ledger.find(task(2)).orElseThrow().body()).hasSize(600);
		assertThat(this.ledger.bytes()).isLessThanOrEqualTo(2_000);
	}

	@Example
	void entryIsKeptWhileItsTaskRunsAndForTheRetentionAfterItsEnd() {
		this.ledger.recordStart(new LedgerEntry(task(0), new Partition(1), new AttemptId(1), 0, LedgerState.STARTED,
				new byte[0], false, 0));
		this.ledger.expire(new Moment(10_000, 0));
		this.ledger.recordEnd(task(0), LedgerState.FAILED, new byte[0], 1, new Moment(10_000, 0));
		this.ledger.expire(new Moment(10_099, 0));
		assertThat(this.ledger.find(task(0))).isPresent();
		this.ledger.expire(new Moment(10_100, 0));
		assertThat(this.ledger.find(task(0))).isEmpty();
		assertThat(this.ledger.bytes()).isZero();
	}

}
