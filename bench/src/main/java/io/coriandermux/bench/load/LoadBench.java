package io.coriandermux.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.coriandermux.http.UndertowHttpClient;
import io.coriandermux.wire.TimeSource;

/**
 * Measures running processes in four phases: warm-up, highest rate, half of the highest
 * rate, and idle. The warm-up phase is not part of the result.
 */
public final class LoadBench {

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final double NANOS_PER_MICRO = TimeUnit.MICROSECONDS.toNanos(1);

	private final LoadOptions options;

	private final List<WatchedProcess> processes;

	private final UsageProbe usage;

	private final TimeSource time;

	private final UndertowHttpClient httpClient;

	/**
	 * Creates a benchmark.
	 * @param options the options of the load run
	 * @param processes the processes whose usage is sampled
	 * @param usage reads the usage of a process
	 * @param httpClient the HTTP client
	 * @param time the clock
	 */
	public LoadBench(LoadOptions options, List<WatchedProcess> processes, UsageProbe usage,
			UndertowHttpClient httpClient, TimeSource time) {
		this.options = options;
		this.processes = List.copyOf(processes);
		this.usage = usage;
		this.httpClient = httpClient;
		this.time = time;
	}

	/**
	 * Runs all phases.
	 * @param idle duration of the idle phase
	 * @return the result
	 * @throws LoadException if a phase cannot be carried out
	 * @throws ProcessEndedException if one of the processes has ended
	 */
	public LoadResult run(Duration idle) throws LoadException, ProcessEndedException {
		List<PhaseResult> phases = new ArrayList<>();
		List<PhaseUsage> usages = new ArrayList<>();
		try (LoadDriver driver = new LoadDriver(this.options, this.httpClient, this.time)) {
			driver.run("warm-up", 0);
			PhaseResult highest = measurePhase(() -> driver.run("highest rate", 0), usages);
			phases.add(highest);
			phases.add(measurePhase(() -> driver.run("half rate", highest.completePerSecond() / 2), usages));
			measureIdle(idle, usages);
		}
		return new LoadResult(this.options, phases, usages);
	}

	private PhaseResult measurePhase(PhaseRun run, List<PhaseUsage> usages)
			throws LoadException, ProcessEndedException {
		List<UsageSample> before = sampleAll();
		PhaseResult phase = run.run();
		long tasks = phase.outcomes().getOrDefault("complete", 0L) * this.options.tasksPerJob();
		addUsages(phase.name(), before, phase.seconds(), tasks, usages);
		return phase;
	}

	private void measureIdle(Duration duration, List<PhaseUsage> usages) throws LoadException, ProcessEndedException {
		List<UsageSample> before = sampleAll();
		long start = this.time.now().nanos();
		CompletableFuture.runAsync(() -> {
		}, CompletableFuture.delayedExecutor(duration.toMillis(), TimeUnit.MILLISECONDS)).join();
		addUsages("idle", before, (this.time.now().nanos() - start) / NANOS_PER_SECOND, 0, usages);
	}

	private List<UsageSample> sampleAll() throws LoadException, ProcessEndedException {
		List<UsageSample> samples = new ArrayList<>();
		for (WatchedProcess process : this.processes) {
			samples.add(this.usage.sample(process));
		}
		return samples;
	}

	private void addUsages(String phase, List<UsageSample> before, double seconds, long tasks, List<PhaseUsage> usages)
			throws LoadException, ProcessEndedException {
		List<UsageSample> after = sampleAll();
		for (int i = 0; i < after.size(); i++) {
			double nanos = after.get(i).process().processorNanos() - before.get(i).process().processorNanos();
			double bytes = after.get(i).linkBytes() - before.get(i).linkBytes();
			double perTask = (tasks > 0) ? nanos / NANOS_PER_MICRO / tasks : 0;
			usages.add(new PhaseUsage(this.processes.get(i).name(), phase, nanos / NANOS_PER_SECOND / seconds, perTask,
					after.get(i).process().residentBytes(), bytes / seconds));
		}
	}

	/**
	 * A phase that submits jobs.
	 */
	@FunctionalInterface
	private interface PhaseRun {

		PhaseResult run() throws LoadException;

	}

}
