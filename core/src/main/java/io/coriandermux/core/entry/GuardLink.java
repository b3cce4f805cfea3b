package io.coriandermux.core.entry;

import java.util.BitSet;

import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.member.GuardInfo;

/**
 * State of the link to a guard.
 */
final class GuardLink {

	private final GuardInfo info;

	private final BitSet fencedPartitions = new BitSet(Partition.COUNT);

	private long fenceSentNanos;

	private boolean usable;

	private long usagePeriod;

	private int heldCredits;

	private long clockNanos;

	private boolean clockKnown;

	private long acknowledgedNanos;

	private boolean acknowledged;

	private boolean leaving;

	private boolean resendDue = true;

	private long pausedUntilNanos = Long.MIN_VALUE;

	GuardLink(GuardInfo info) {
		this.info = info;
	}

	GuardInfo info() {
		return this.info;
	}

	boolean isIncarnation(Incarnation incarnation) {
		return this.info.incarnation().equals(incarnation);
	}

	// Partitions whose current epoch the guard has confirmed.
	BitSet fencedPartitions() {
		return this.fencedPartitions;
	}

	boolean isFenced(BitSet partitions) {
		BitSet missing = (BitSet) partitions.clone();
		missing.andNot(this.fencedPartitions);
		return missing.isEmpty();
	}

	// Whether the scheduler may place tasks on the guard.
	boolean isUsable() {
		return this.usable;
	}

	void setUsable(boolean next) {
		this.usable = next;
	}

	// Number of the current period in which the scheduler may use the guard without
	// interruption. The scheduler does not count credits of earlier periods.
	long usagePeriod() {
		return this.usagePeriod;
	}

	void setUsagePeriod(long next) {
		this.usagePeriod = next;
	}

	long fenceSentNanos() {
		return this.fenceSentNanos;
	}

	void recordFenceSent(long nanos) {
		this.fenceSentNanos = nanos;
	}

	// Credits held back from the scheduler while the guard is not usable.
	int heldCredits() {
		return this.heldCredits;
	}

	void setHeldCredits(int count) {
		this.heldCredits = count;
	}

	void recordClock(long guardClockNanos) {
		this.clockNanos = this.clockKnown ? Math.max(this.clockNanos, guardClockNanos) : guardClockNanos;
		this.clockKnown = true;
	}

	boolean isClockKnown() {
		return this.clockKnown;
	}

	long clockNanos() {
		return this.clockNanos;
	}

	void recordAcknowledgement(long sentNanos) {
		this.acknowledgedNanos = this.acknowledged ? Math.max(this.acknowledgedNanos, sentNanos) : sentNanos;
		this.acknowledged = true;
	}

	boolean isAcknowledged() {
		return this.acknowledged;
	}

	long acknowledgedNanos() {
		return this.acknowledgedNanos;
	}

	boolean isAcknowledgedSince(long nanos) {
		return this.acknowledged && this.acknowledgedNanos - nanos >= 0;
	}

	boolean isLeaving() {
		return this.leaving;
	}

	void markLeaving() {
		this.leaving = true;
	}

	// Returns whether messages of a previous link have to be sent again, and clears the
	// flag.
	boolean takeResendDue() {
		boolean due = this.resendDue;
		this.resendDue = false;
		return due;
	}

	void pauseUntil(long nanos) {
		this.pausedUntilNanos = nanos;
	}

	boolean isPaused(long nowNanos) {
		return nowNanos < this.pausedUntilNanos;
	}

}
