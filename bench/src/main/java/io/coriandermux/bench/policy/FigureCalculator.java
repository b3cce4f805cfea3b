package io.coriandermux.bench.policy;

import java.util.Arrays;
import java.util.List;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;

/**
 * Computes the figures of a policy relative to the central queue and the ideal policy on
 * the same arrivals.
 */
final class FigureCalculator {

	private static final double NANOS_PER_MILLI = 1e6;

	/** Time after the peak that does not count as steady, like the peak itself. */
	private static final long PEAK_RECOVERY_NANOS = 20_000_000_000L;

	private static final double P99 = 0.99;

	private final ArrivalPlan plan;

	private final SimulationResult central;

	private final SimulationResult ideal;

	FigureCalculator(ArrivalPlan plan, SimulationResult central, SimulationResult ideal) {
		this.plan = plan;
		this.central = central;
		this.ideal = ideal;
	}

	PolicyFigures calculate(SimulationResult result) {
		double mean = meanResponse(result, false);
		long unserved = tasksAfterWarmUp().filter((task) -> result.responseNanos[task.id()] < 0).count();
		return new PolicyFigures(mean / meanResponse(this.central, false), mean / meanResponse(this.ideal, false),
				(double) result.wastedMessages / tasksAfterWarmUp().count(), peakOnTimeFraction(result),
				shortP99Slowdown(result), meanJobResponse(result) / meanJobResponse(this.central),
				meanResponse(result, true) / meanResponse(this.central, true),
				(double) unserved / tasksAfterWarmUp().count(), result.refusedWhileIdle, mean / NANOS_PER_MILLI);
	}

	static PolicyFigures mean(List<PolicyFigures> all) {
		return new PolicyFigures(mean(all.stream().mapToDouble(PolicyFigures::responseVsCentral)),
				mean(all.stream().mapToDouble(PolicyFigures::responseVsIdeal)),
				mean(all.stream().mapToDouble(PolicyFigures::wastedMessagesPerTask)),
				mean(all.stream().mapToDouble(PolicyFigures::peakOnTimeFraction)),
				mean(all.stream().mapToDouble(PolicyFigures::shortP99Slowdown)),
				mean(all.stream().mapToDouble(PolicyFigures::jobResponseVsCentral)),
				mean(all.stream().mapToDouble(PolicyFigures::steadyVsCentral)),
				mean(all.stream().mapToDouble(PolicyFigures::unservedFraction)),
				mean(all.stream().mapToDouble(PolicyFigures::refusedWhileIdle)),
				mean(all.stream().mapToDouble(PolicyFigures::meanResponseMillis)));
	}

	private static double mean(DoubleStream values) {
		return values.average().orElse(Double.NaN);
	}

	private Stream<TaskArrival> tasksAfterWarmUp() {
		return this.plan.jobs()
			.stream()
			.filter((job) -> job.arrivalNanos() >= this.plan.warmUpEndNanos())
			.flatMap((job) -> job.tasks().stream());
	}

	private boolean isSteady(TaskArrival task) {
		return task.arrivalNanos() < this.plan.peakStartNanos()
				|| task.arrivalNanos() >= this.plan.peakEndNanos() + PEAK_RECOVERY_NANOS;
	}

	private double meanResponse(SimulationResult result, boolean steady) {
		return mean(tasksAfterWarmUp().filter((task) -> !steady || isSteady(task))
			.mapToDouble((task) -> responseNanos(result, task)));
	}

	private double meanJobResponse(SimulationResult result) {
		return mean(this.plan.jobs()
			.stream()
			.filter((job) -> job.arrivalNanos() >= this.plan.warmUpEndNanos())
			.mapToDouble(
					(job) -> job.tasks().stream().mapToDouble((task) -> responseNanos(result, task)).max().orElse(0)));
	}

	private static double responseNanos(SimulationResult result, TaskArrival task) {
		long response = result.responseNanos[task.id()];
		// An unserved task counts with its deadline. Otherwise dropping a task would
		// improve the mean.
		return (response >= 0) ? response : task.deadlineNanos() - task.arrivalNanos();
	}

	private double peakOnTimeFraction(SimulationResult result) {
		List<TaskArrival> servedByIdeal = tasksAfterWarmUp().filter((task) -> task.kind().isShort())
			.filter((task) -> task.arrivalNanos() >= this.plan.peakStartNanos()
					&& task.arrivalNanos() < this.plan.peakEndNanos())
			.filter(this.ideal::isOnTime)
			.toList();
		return (double) servedByIdeal.stream().filter(result::isOnTime).count() / servedByIdeal.size();
	}

	private double shortP99Slowdown(SimulationResult result) {
		double[] slowdowns = tasksAfterWarmUp().filter((task) -> task.kind().isShort())
			.filter((task) -> result.responseNanos[task.id()] >= 0)
			.mapToDouble((task) -> (double) result.responseNanos[task.id()] / result.runNanos[task.id()])
			.toArray();
		Arrays.sort(slowdowns);
		return slowdowns[(int) (P99 * (slowdowns.length - 1))];
	}

}
