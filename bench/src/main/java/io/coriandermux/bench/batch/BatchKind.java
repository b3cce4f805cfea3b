package io.coriandermux.bench.batch;

/**
 * A kind of batch in the load. Run times, widths and declared times are drawn from
 * lognormal distributions.
 *
 * @param name name of the kind, which is also that of its route
 * @param ratePerSecond batches per second at the mean of the load
 * @param worth value of a batch of mean size that is answered in time
 * @param taskMillis mean run time of a task at speed 1 in milliseconds
 * @param spread standard deviation of the logarithm of the run times of batches
 * @param width mean number of tasks of a batch
 * @param millicores processor capacity that each task holds
 */
public record BatchKind(String name, double ratePerSecond, double worth, double taskMillis, double spread, double width,
		long millicores) {

}
