package io.coriandermux.bench.batch;

import java.util.List;

import io.coriandermux.core.id.Moment;

/**
 * Outcomes of the batches of a run.
 */
final class BatchOutcomes {

	private final List<BatchArrival> arrivals;

	private final long firstNanos;

	private final double[] credits;

	private long orders;

	private long refusedOrders;

	private double busyMillicoreNanos;

	/**
	 * Creates the outcomes of a run in which no batch is answered yet.
	 * @param arrivals the batches
	 * @param firstNanos start of the arrivals
	 */
	BatchOutcomes(List<BatchArrival> arrivals, long firstNanos) {
		this.arrivals = arrivals;
		this.firstNanos = firstNanos;
		this.credits = new double[arrivals.size()];
	}

	void record(BatchArrival arrival, boolean completed, Moment now) {
		this.credits[arrival.number()] = completed ? arrival.credit(now) : 0;
	}

	void countOrder() {
		this.orders++;
	}

	void countRefusedOrder() {
		this.refusedOrders++;
	}

	void setBusyMillicoreNanos(double value) {
		this.busyMillicoreNanos = value;
	}

	List<BatchArrival> arrivals() {
		return this.arrivals;
	}

	long firstNanos() {
		return this.firstNanos;
	}

	double credit(BatchArrival arrival) {
		return this.credits[arrival.number()];
	}

	double refusedOrderShare() {
		return (this.orders == 0) ? 0 : (double) this.refusedOrders / this.orders;
	}

	double busyMillicoreNanos() {
		return this.busyMillicoreNanos;
	}

}
