package io.coriandermux.bench.policy;

/**
 * The runners and entries of a simulation.
 *
 * @param speeds speed of each runner; the run time of a task is its work divided by the
 * speed
 * @param slots number of slots of each runner
 * @param entryWeights fraction of the jobs that the load balancer sends to each entry
 * @param zones number of availability zones; runners and entries are assigned to them in
 * turn
 * @param zoneDelayNanos one-way delay between zones in nanoseconds
 */
public record Fleet(double[] speeds, int slots, double[] entryWeights, int zones, long zoneDelayNanos) {

	/** One-way delay inside a zone, where a round trip takes well under 1 ms. */
	static final long LOCAL_DELAY_NANOS = 100_000L;

	/** The fastest runner is nearly three times as fast as the slowest. */
	private static final double[] SPEEDS = { 1.6, 1.4, 1.25, 1.1, 1.0, 1.0, 0.9, 0.8, 0.7, 0.6 };

	/** Entry VMs differ in size. */
	private static final double[] ENTRY_WEIGHTS = { 0.4, 0.35, 0.25 };

	private static final int SLOTS = 8;

	/**
	 * Returns the fleet of a user.
	 * @param workload the user's workload
	 * @param factor multiple of the 10 runners
	 * @return the fleet
	 */
	public static Fleet of(Workload workload, int factor) {
		double[] speeds = new double[SPEEDS.length * factor];
		for (int i = 0; i < speeds.length; i++) {
			speeds[i] = SPEEDS[i % SPEEDS.length];
		}
		return new Fleet(speeds, SLOTS, ENTRY_WEIGHTS, workload.zones(), workload.zoneDelayNanos());
	}

	/**
	 * Returns the work that all slots together complete per nanosecond.
	 * @return the capacity
	 */
	public double capacity() {
		double sum = 0;
		for (double speed : this.speeds) {
			sum += speed * this.slots;
		}
		return sum;
	}

	/**
	 * Returns the one-way delay between an entry and a runner.
	 * @param entry number of the entry
	 * @param runner number of the runner
	 * @return the delay in nanoseconds
	 */
	public long delayNanos(int entry, int runner) {
		return LOCAL_DELAY_NANOS + ((entry % this.zones == runner % this.zones) ? 0 : this.zoneDelayNanos);
	}

}
