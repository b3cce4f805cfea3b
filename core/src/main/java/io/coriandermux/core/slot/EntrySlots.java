package io.coriandermux.core.slot;

import io.coriandermux.core.id.EntryId;

/**
 * The credits and running tasks of one entry, and its number of waiting tasks.
 */
final class EntrySlots {

	final EntryId entry;

	int credits;

	int running;

	int queued;

	int pendingRecall;

	long recalledAtNanos;

	boolean recalledBefore;

	EntrySlots(EntryId entry) {
		this.entry = entry;
	}

	int heldSlots() {
		return this.credits + this.running;
	}

}
