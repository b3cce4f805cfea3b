package io.coriandermux.core.admission;

/**
 * State of a pool's queue as seen by one owner.
 *
 * @param ownerWork the owner's waiting work
 * @param poolWork all waiting work
 * @param slots slots of the pool that the entry uses or has credits for
 * @param activeWeightShare the owner's fraction of the total weight of the owners with
 * waiting tasks
 * @param totalWeightShare the owner's fraction of the total weight of all owners
 * @param maxInFlight the owner's limit on started tasks
 */
public record QueueState(WorkHistogram ownerWork, WorkHistogram poolWork, int slots, double activeWeightShare,
		double totalWeightShare, int maxInFlight) {

	/**
	 * Returns the predicted wait of a task. Fair queueing guarantees the owner its share
	 * of the slots, and no task waits longer than all slots together need for the work
	 * before it. The owner's quota can make the wait longer.
	 * @param expectedNanos predicted run time of the task in nanoseconds
	 * @return the wait in nanoseconds
	 */
	public double waitNanos(long expectedNanos) {
		if (this.slots == 0) {
			return 0;
		}
		double byShare = this.ownerWork.workAheadNanos(expectedNanos) / (this.slots * this.activeWeightShare);
		double byPool = this.poolWork.workAheadNanos(expectedNanos) / this.slots;
		return Math.max(Math.min(byShare, byPool), quotaWaitNanos(expectedNanos));
	}

	/**
	 * Returns the predicted wait if the owner's quota were the only limit.
	 * @param expectedNanos predicted run time of the task in nanoseconds
	 * @return the wait in nanoseconds
	 */
	public double quotaWaitNanos(long expectedNanos) {
		return this.ownerWork.workAheadNanos(expectedNanos) / this.maxInFlight;
	}

}
