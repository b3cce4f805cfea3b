package io.coriandermux.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.run.BatchId;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against messages between entries that outnumber the tasks, with 15 entries as on
 * the largest site. No network is used.
 */
class HandoverCostTests {

	private static final int ENTRIES = 15;

	private static final long SECONDS = 20;

	private static final long TICK_MILLIS = 20;

	private long messages;

	// Batches of the usual run time end before they are announced.
	@Example
	void shortBatchesCostNothing() {
		assertThat(messagesPerBatch(128, 50, 200)).isZero();
	}

	// 128 batches a second at each entry, of which a tenth runs for 0.5 to 2 s.
	@Example
	void aFewLongBatchesCostLessThanOneMessagePerBatch() {
		assertThat(messagesPerBatch(128, 50, 350, 500, 2_000)).isLessThan(0.6);
	}

	// The worst case: each interval has a new batch.
	@Example
	void anEntrySendsAtMostFiveMessagesPerSecondToEachPeer() {
		messagesPerBatch(1_000, 1_000, 3_000);
		assertThat(this.messages).isLessThanOrEqualTo(5 * SECONDS * ENTRIES * (ENTRIES - 1));
	}

	private double messagesPerBatch(int perSecond, long minMillis, long maxMillis) {
		return messagesPerBatch(perSecond, minMillis, maxMillis, minMillis, maxMillis);
	}

	// A tenth of the batches is of the longer kind.
	private double messagesPerBatch(int perSecond, long minMillis, long maxMillis, long longMinMillis,
			long longMaxMillis) {
		SplittableRandom random = new SplittableRandom(1);
		long batches = 0;
		this.messages = 0;
		for (int entry = 0; entry < ENTRIES; entry++) {
			HeldBatchAnnouncer announcer = new HeldBatchAnnouncer((peer, message) -> this.messages++);
			for (int peer = 1; peer < ENTRIES; peer++) {
				announcer.onConnected(new EntryId("e" + peer), 0);
			}
			this.messages -= ENTRIES - 1;
			Map<BatchId, Long> held = new LinkedHashMap<>();
			Map<BatchId, Long> endMillis = new LinkedHashMap<>();
			double due = 0;
			for (long now = 0; now < SECONDS * 1_000; now += TICK_MILLIS) {
				for (due += perSecond * TICK_MILLIS / 1_000.0; due >= 1; due--) {
					boolean isLong = random.nextInt(10) == 0;
					BatchId id = new BatchId("b" + batches++);
					held.put(id, nanos(now));
					endMillis.put(id, now + (isLong ? random.nextLong(longMinMillis, longMaxMillis)
							: random.nextLong(minMillis, maxMillis)));
				}
				removeEnded(held, endMillis, now);
				if (announcer.isDue(nanos(now))) {
					announcer.announce(held, nanos(now));
				}
			}
		}
		return (double) this.messages / batches;
	}

	private static void removeEnded(Map<BatchId, Long> held, Map<BatchId, Long> endMillis, long now) {
		List<BatchId> ended = new ArrayList<>();
		endMillis.forEach((id, end) -> {
			if (now >= end) {
				ended.add(id);
			}
		});
		ended.forEach(held::remove);
		ended.forEach(endMillis::remove);
	}

	private static long nanos(long millis) {
		return millis * 1_000_000;
	}

}
