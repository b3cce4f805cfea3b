package io.coriandermux.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws random arrivals. Jobs arrive as a Poisson process whose rate is constant except
 * for a peak of five seconds from the middle of the run, with three times the mean rate
 * of the whole run. The total work, peak included, matches the requested load.
 */
final class ArrivalPlanner {

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private static final double NANOS_PER_MILLI = 1e6;

	private static final double PEAK_SECONDS = 5;

	private static final double PEAK_FACTOR = 3;

	/**
	 * Fraction of the run in which the scheduler learns its estimates of run times. The
	 * figures leave it out.
	 */
	private static final double WARM_UP_FRACTION = 0.125;

	/** A few tasks run 10 to 30 times as long as drawn. */
	private static final double STRAGGLER_PROBABILITY = 0.002;

	private static final double STRAGGLER_MIN_FACTOR = 10;

	private static final double STRAGGLER_FACTOR_RANGE = 20;

	/**
	 * Makes about a third of the declared sizes wrong by a factor of three or more, up or
	 * down.
	 */
	private static final double DECLARED_SIGMA = 1.1;

	private final Workload workload;

	private final Fleet fleet;

	private final double sizeErrorFactor;

	/**
	 * Creates a planner.
	 * @param workload the workload
	 * @param fleet the fleet
	 * @param sizeErrorFactor additional factor by which declared sizes are wrong, up or
	 * down
	 */
	ArrivalPlanner(Workload workload, Fleet fleet, double sizeErrorFactor) {
		this.workload = workload;
		this.fleet = fleet;
		this.sizeErrorFactor = sizeErrorFactor;
	}

	ArrivalPlan plan(long seed, int seconds, double load) {
		SplittableRandom random = new SplittableRandom(seed);
		double targetWork = load * this.fleet.capacity() * seconds * NANOS_PER_SECOND;
		List<JobDraft> drafts = new ArrayList<>();
		double work = 0;
		double time = 0;
		while (work < targetWork) {
			time -= Math.log(1 - random.nextDouble());
			JobDraft draft = drawJob(random, time);
			work += draft.totalWorkNanos();
			drafts.add(draft);
		}
		double timeScale = seconds / time;
		List<JobArrival> jobs = new ArrayList<>(drafts.size());
		int tasks = 0;
		for (JobDraft draft : drafts) {
			long nanos = (long) (withPeak(draft.time * timeScale, seconds) * NANOS_PER_SECOND);
			jobs.add(draft.toArrival(jobs.size(), tasks, nanos));
			tasks += draft.workNanos.length;
		}
		long peakStartNanos = seconds * NANOS_PER_SECOND / 2;
		return new ArrivalPlan(jobs, tasks, (long) (WARM_UP_FRACTION * seconds * NANOS_PER_SECOND), peakStartNanos,
				peakStartNanos + (long) PEAK_SECONDS * NANOS_PER_SECOND);
	}

	/**
	 * Maps a time of the process with constant rate to that of the process with the peak.
	 * @param constantRateTime time at the mean rate in seconds
	 * @param seconds length of the run in seconds
	 * @return time with the peak in seconds
	 */
	private static double withPeak(double constantRateTime, int seconds) {
		double peakStart = (double) seconds / 2;
		double rate = (seconds - PEAK_FACTOR * PEAK_SECONDS) / (seconds - PEAK_SECONDS);
		double constantRatePeakStart = peakStart * rate;
		if (constantRateTime <= constantRatePeakStart) {
			return constantRateTime / rate;
		}
		double sincePeakStart = (constantRateTime - constantRatePeakStart) / PEAK_FACTOR;
		if (sincePeakStart <= PEAK_SECONDS) {
			return peakStart + sincePeakStart;
		}
		return peakStart + PEAK_SECONDS
				+ (constantRateTime - constantRatePeakStart - PEAK_FACTOR * PEAK_SECONDS) / rate;
	}

	private JobDraft drawJob(SplittableRandom random, double time) {
		TaskKind kind = pickKind(random.nextDouble());
		int entry = pickEntry(random.nextDouble());
		double ratio = (double) (kind.mostTasks() + 1) / kind.fewestTasks();
		int size = (int) (kind.fewestTasks() * Math.pow(ratio, random.nextDouble()));
		long[] workNanos = new long[size];
		long[] declaredMillis = new long[size];
		for (int i = 0; i < size; i++) {
			double millis = kind.medianMillis() * Math.exp(kind.sigma() * random.nextGaussian());
			double noise = Math.exp(DECLARED_SIGMA * random.nextGaussian());
			double sizeError = random.nextBoolean() ? this.sizeErrorFactor : 1 / this.sizeErrorFactor;
			declaredMillis[i] = Math.max(1, Math.round(millis * noise * sizeError));
			double factor = STRAGGLER_MIN_FACTOR + STRAGGLER_FACTOR_RANGE * random.nextDouble();
			workNanos[i] = (long) (NANOS_PER_MILLI * millis
					* ((random.nextDouble() < STRAGGLER_PROBABILITY) ? factor : 1));
		}
		return new JobDraft(kind, entry, time, workNanos, declaredMillis);
	}

	private TaskKind pickKind(double draw) {
		double remaining = draw;
		for (TaskKind kind : this.workload.kinds()) {
			remaining -= kind.frequency();
			if (remaining < 0) {
				return kind;
			}
		}
		return this.workload.kinds().get(0);
	}

	private int pickEntry(double draw) {
		double remaining = draw;
		for (int i = 0; i < this.fleet.entryWeights().length; i++) {
			remaining -= this.fleet.entryWeights()[i];
			if (remaining < 0) {
				return i;
			}
		}
		return 0;
	}

	private record JobDraft(TaskKind kind, int entry, double time, long[] workNanos, long[] declaredMillis) {

		private double totalWorkNanos() {
			double sum = 0;
			for (long work : this.workNanos) {
				sum += work;
			}
			return sum;
		}

		private JobArrival toArrival(int job, int firstTask, long nanos) {
			List<TaskArrival> tasks = new ArrayList<>(this.workNanos.length);
			long deadline = nanos + (long) (this.kind.deadlineMillis() * NANOS_PER_MILLI);
			for (int i = 0; i < this.workNanos.length; i++) {
				tasks.add(new TaskArrival(firstTask + i, this.kind, this.workNanos[i], this.declaredMillis[i], nanos,
						deadline));
			}
			return new JobArrival(job, this.entry, nanos, tasks);
		}

	}

}
