package io.coriandermux.core.guard;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;

import io.coriandermux.core.home.TimingLimits;
import io.coriandermux.core.id.AttemptId;
import io.coriandermux.core.id.Epoch;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.message.Start;

/**
 * Attempts that were refused or cancelled before they started. The home may have placed
 * such a task elsewhere, so a delayed copy of the same {@code Start} must not start it
 * here. A tombstone expires after the maximum age of a clock echo: later copies are
 * refused because their echo is too old.
 */
final class Tombstones {

	private static final Tombstone ANY_ATTEMPT = new Tombstone(new Epoch(Long.MAX_VALUE), new AttemptId(Long.MAX_VALUE),
			0);

	private final Map<TaskKey, Tombstone> tombstones = new LinkedHashMap<>();

	private final ArrayDeque<TombstoneExpiry> expiryQueue = new ArrayDeque<>();

	void recordRefused(Start start, Moment now) {
		put(start.task(), new Tombstone(start.epoch(), start.attempt(), now.nanos()));
	}

	void recordCancelled(TaskKey task, Moment now) {
		put(task, new Tombstone(ANY_ATTEMPT.epoch(), ANY_ATTEMPT.attempt(), now.nanos()));
	}

	boolean covers(Start start) {
		Tombstone tombstone = this.tombstones.get(start.task());
		if (tombstone == null) {
			return false;
		}
		int epochComparison = start.epoch().compareTo(tombstone.epoch());
		return (epochComparison != 0) ? epochComparison < 0 : start.attempt().compareTo(tombstone.attempt()) <= 0;
	}

	void expire(Moment now) {
		while (!this.expiryQueue.isEmpty()
				&& now.nanos() - this.expiryQueue.peek().recordedNanos() > TimingLimits.MAX_ECHO_AGE_NANOS) {
			TombstoneExpiry expiry = this.expiryQueue.poll();
			Tombstone tombstone = this.tombstones.get(expiry.task());
			if (tombstone != null && tombstone.recordedNanos() == expiry.recordedNanos()) {
				this.tombstones.remove(expiry.task());
			}
		}
	}

	private void put(TaskKey task, Tombstone tombstone) {
		this.tombstones.put(task, tombstone);
		this.expiryQueue.add(new TombstoneExpiry(task, tombstone.recordedNanos()));
	}

	private record Tombstone(Epoch epoch, AttemptId attempt, long recordedNanos) {

	}

	private record TombstoneExpiry(TaskKey task, long recordedNanos) {

	}

}
