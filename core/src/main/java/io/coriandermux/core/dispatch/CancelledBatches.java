package io.coriandermux.core.dispatch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import io.coriandermux.core.run.BatchId;

/**
 * The batches that were cancelled at this entry. The request for a batch may arrive once
 * more after its caller has cancelled it, and must not start it again.
 */
final class CancelledBatches {

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	/** Callers may ask for the state of a cancelled batch for two minutes. */
	private static final long RETENTION_NANOS = 120 * NANOS_PER_SECOND;

	/** Bounds the memory; with 100 cancels a second the oldest is 160 s old. */
	private static final int MAX_BATCHES = 16_384;

	/** Time of the cancel on the monotonic clock, the oldest first. */
	private final Map<BatchId, Long> cancelledNanos = new LinkedHashMap<>();

	void add(BatchId batch, long nowNanos) {
		removeOld(nowNanos);
		this.cancelledNanos.put(batch, nowNanos);
	}

	boolean contains(BatchId batch) {
		return this.cancelledNanos.containsKey(batch);
	}

	private void removeOld(long nowNanos) {
		Iterator<Long> times = this.cancelledNanos.values().iterator();
		while (times.hasNext()) {
			long oldestNanos = times.next();
			if (this.cancelledNanos.size() < MAX_BATCHES && nowNanos - oldestNanos < RETENTION_NANOS) {
				return;
			}
			times.remove();
		}
	}

}
