package io.coriandermux.core.admission;

/**
 * Histogram of the predicted run times of waiting tasks. It estimates how much work goes
 * before a new task when the shortest task goes first.
 */
public final class WorkHistogram {

	/** One bucket per power of two of the predicted run time in nanoseconds. */
	private static final int BUCKETS = Long.SIZE;

	private final double[] nanos = new double[BUCKETS];

	private final int[] tasks = new int[BUCKETS];

	private int count;

	/**
	 * Adds a waiting task.
	 * @param expectedNanos its predicted run time in nanoseconds
	 */
	public void add(long expectedNanos) {
		int bucket = bucketOf(expectedNanos);
		this.nanos[bucket] += expectedNanos;
		this.tasks[bucket]++;
		this.count++;
	}

	/**
	 * Removes a task that no longer waits.
	 * @param expectedNanos its predicted run time in nanoseconds, as it was added
	 */
	public void remove(long expectedNanos) {
		int bucket = bucketOf(expectedNanos);
		this.tasks[bucket]--;
		this.nanos[bucket] = (this.tasks[bucket] == 0) ? 0 : this.nanos[bucket] - expectedNanos;
		this.count--;
	}

	/**
	 * Returns the number of waiting tasks.
	 * @return the number
	 */
	public int count() {
		return this.count;
	}

	/**
	 * Returns the predicted work that goes before a task: all of the smaller buckets and
	 * half of the task's own bucket.
	 * @param expectedNanos predicted run time of the task in nanoseconds
	 * @return the work in nanoseconds
	 */
	public double workAheadNanos(long expectedNanos) {
		int ownBucket = bucketOf(expectedNanos);
		double sum = this.nanos[ownBucket] / 2;
		for (int i = 0; i < ownBucket; i++) {
			sum += this.nanos[i];
		}
		return sum;
	}

	private static int bucketOf(long nanos) {
		return Long.SIZE - 1 - Long.numberOfLeadingZeros(Math.max(nanos, 1));
	}

}
