package io.coriandermux.bench.batch;

import io.coriandermux.core.id.Moment;
import io.coriandermux.core.run.BatchId;

/**
 * A batch that arrives at an entry.
 *
 * @param number number of the batch in the run
 * @param kind its kind
 * @param entry number of the entry
 * @param nanos arrival time
 * @param workNanos run time of each task at speed 1
 * @param declaredMillis declared run time of its tasks
 * @param worth value of an answer in time
 */
record BatchArrival(int number, BatchKind kind, int entry, long nanos, long[] workNanos, long declaredMillis,
		double worth) {

	/** Part of the objective that is proportional to the run time of the longest task. */
	static final double OBJECTIVE_FACTOR = 1.6;

	/** Fixed part of the objective in milliseconds. */
	static final long OBJECTIVE_MILLIS = 60;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final int LATE_FACTOR = 3;

	private static final double LATE_WORTH_FRACTION = 0.2;

	BatchId id() {
		return new BatchId("b" + this.number);
	}

	BatchArrival delayed(long delayNanos) {
		return new BatchArrival(this.number, this.kind, this.entry, this.nanos + delayNanos, this.workNanos,
				this.declaredMillis, this.worth);
	}

	long longestNanos() {
		long longest = 0;
		for (long work : this.workNanos) {
			longest = Math.max(longest, work);
		}
		return longest;
	}

	double work() {
		double sum = 0;
		for (long work : this.workNanos) {
			sum += work;
		}
		return sum * this.kind.millicores();
	}

	long objectiveNanos() {
		return (long) (OBJECTIVE_FACTOR * longestNanos()) + OBJECTIVE_MILLIS * NANOS_PER_MILLI;
	}

	/**
	 * Returns what an answer is worth.
	 * @param answeredAt time of the answer
	 * @return the whole worth if it is in time, a fifth of it up to three times the
	 * objective, 0 afterwards
	 */
	double credit(Moment answeredAt) {
		long responseNanos = answeredAt.nanos() - this.nanos;
		if (responseNanos <= objectiveNanos()) {
			return this.worth;
		}
		return (responseNanos <= LATE_FACTOR * objectiveNanos()) ? this.worth * LATE_WORTH_FRACTION : 0;
	}

}
