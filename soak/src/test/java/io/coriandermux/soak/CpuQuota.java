package io.coriandermux.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.coriandermux.wire.TimeSource;

/**
 * Emulates the processor quotas of the deployment: a process that has used its CPU time
 * of a period stands still until the end of the period.
 */
final class CpuQuota implements AutoCloseable {

	private static final long PERIOD_MILLIS = 100;

	private static final long ENTRY_MILLIS = 75;

	private static final long GUARD_MILLIS = 45;

	private static final long SAMPLE_INTERVAL_MILLIS = 5;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final TimeSource time;

	private final Consumer<String> trace;

	private final List<ThrottledProcess> entries = new ArrayList<>();

	private final List<ThrottledProcess> guards = new ArrayList<>();

	private final ScheduledExecutorService sampler = Executors.newSingleThreadScheduledExecutor();

	/**
	 * Creates quotas that are not in force yet.
	 * @param cluster the processes
	 * @param time the clock
	 * @param trace receives a line if a process cannot be throttled
	 * @param percent the share of the quotas of the deployment in percent
	 */
	CpuQuota(Cluster cluster, TimeSource time, Consumer<String> trace, int percent) {
		this.time = time;
		this.trace = trace;
		cluster.entries()
			.forEach((process) -> this.entries.add(new ThrottledProcess(process, ENTRY_MILLIS * percent / 100)));
		cluster.guards()
			.forEach((process) -> this.guards.add(new ThrottledProcess(process, GUARD_MILLIS * percent / 100)));
	}

	void start() {
		this.sampler.scheduleAtFixedRate(this::sample, 0, SAMPLE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void sample() {
		long millis = this.time.now().nanos() / NANOS_PER_MILLI;
		this.entries.forEach((process) -> sample(process, millis));
		this.guards.forEach((process) -> sample(process, millis));
	}

	private void sample(ThrottledProcess process, long millis) {
		try {
			process.sample(millis);
		}
		catch (IOException ex) {
			this.trace.accept("cannot throttle " + process.process.name() + ": " + ex.getMessage());
		}
	}

	String summary() {
		return "throttled for " + throttledMillis(this.entries) + " ms (entries) and " + throttledMillis(this.guards)
				+ " ms (guards)";
	}

	private static long throttledMillis(List<ThrottledProcess> processes) {
		return processes.stream().mapToLong((process) -> process.throttledMillis).sum();
	}

	@Override
	public void close() {
		this.sampler.shutdownNow();
	}

	/**
	 * The CPU time that is left in the current period. What is left at the end of a
	 * period is lost, and what was used beyond the quota is taken from the next one.
	 */
	static final class Budget {

		private final long quotaMillis;

		private long remainingMillis;

		private long periodEndMillis;

		private long usedMillis;

		/**
		 * Creates the budget of a process that has used no CPU time.
		 * @param quotaMillis CPU time of a period in milliseconds
		 * @param nowMillis the start of the first period in milliseconds
		 */
		Budget(long quotaMillis, long nowMillis) {
			this.quotaMillis = quotaMillis;
			this.remainingMillis = quotaMillis;
			this.periodEndMillis = nowMillis + PERIOD_MILLIS;
		}

		/**
		 * Takes the used CPU time from the budget.
		 * @param nowMillis the time in milliseconds
		 * @param totalMillis CPU time since the start of the process in milliseconds,
		 * less than before if the process was restarted
		 * @return whether the quota is used up
		 */
		boolean isUsedUp(long nowMillis, long totalMillis) {
			this.remainingMillis -= (totalMillis < this.usedMillis) ? totalMillis : totalMillis - this.usedMillis;
			this.usedMillis = totalMillis;
			while (nowMillis >= this.periodEndMillis) {
				this.periodEndMillis += PERIOD_MILLIS;
				this.remainingMillis = Math.min(this.quotaMillis, this.remainingMillis + this.quotaMillis);
			}
			return this.remainingMillis <= 0;
		}

	}

	private static final class ThrottledProcess {

		private final SystemProcess process;

		private final long quotaMillis;

		private Budget budget;

		private long sampledMillis;

		private volatile long throttledMillis;

		ThrottledProcess(SystemProcess process, long quotaMillis) {
			this.process = process;
			this.quotaMillis = quotaMillis;
		}

		// Periods of machines do not begin at the same time, so each one begins with the
		// first sample in which its process runs.
		void sample(long millis) throws IOException {
			long totalMillis = this.process.cpuMillis();
			if (this.budget == null && totalMillis == 0) {
				return;
			}
			if (this.budget == null) {
				this.budget = new Budget(this.quotaMillis, millis);
				this.sampledMillis = millis;
			}
			boolean usedUp = this.budget.isUsedUp(millis, totalMillis);
			this.process.setThrottled(usedUp);
			if (usedUp) {
				this.throttledMillis += millis - this.sampledMillis;
			}
			this.sampledMillis = millis;
		}

	}

}
