package io.coriandermux.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.coriandermux.http.PooledHttpClient;
import io.coriandermux.wire.TimeSource;

/**
 * Measures running processes in four phases: warm-up, highest rate, half of the highest
 * rate, and idle.
 */
public final class LoadBench {

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final double NANOS_PER_MICRO = TimeUnit.MICROSECONDS.toNanos(1);

	private final LoadOptions options;

	private final List<WatchedProcess> processes;

	private final UsageProbe usage;

	private final TimeSource time;

	private final PooledHttpClient caller;

	/**
	 * Creates a bench.
	 * @param options what to submit
	 * @param processes the processes to watch
	 * @param usage reads the usage of a process
	 * @param caller the HTTP client
	 * @param time the clock
	 */
	public LoadBench(LoadOptions options, List<WatchedProcess> processes, UsageProbe usage, PooledHttpClient caller,
			TimeSource time) {
		this.options = options;
		this.processes = List.copyOf(processes);
		this.usage = usage;
		this.caller = caller;
		this.time = time;
	}

	/**
	 * Runs all phases.
	 * @param idle duration of the idle phase
	 * @return the result
	 * @throws LoadException if a phase cannot be carried out
	 * @throws ProcessGoneException if a watched process has ended
	 */
	public LoadResult run(Duration idle) throws LoadException, ProcessGoneException {
		List<LoadPhase> phases = new ArrayList<>();
		List<PhaseUsage> usages = new ArrayList<>();
		try (LoadDriver driver = new LoadDriver(this.options, this.caller, this.time)) {
			driver.run("warm-up", 0);
			LoadPhase highest = measured(() -> driver.run("highest rate", 0), usages);
			phases.add(highest);
			phases.add(measured(() -> driver.run("half rate", highest.completePerSecond() / 2), usages));
			idle(idle, usages);
		}
		return new LoadResult(this.options, phases, usages);
	}

	private LoadPhase measured(PhaseRun run, List<PhaseUsage> usages) throws LoadException, ProcessGoneException {
		List<LinkUsage> before = sample();
		LoadPhase phase = run.run();
		long tasks = phase.outcomes().getOrDefault("complete", 0L) * this.options.tasksPerJob();
		add(phase.name(), before, phase.seconds(), tasks, usages);
		return phase;
	}

	private void idle(Duration duration, List<PhaseUsage> usages) throws LoadException, ProcessGoneException {
		List<LinkUsage> before = sample();
		long start = this.time.now().nanos();
		CompletableFuture.runAsync(() -> {
		}, CompletableFuture.delayedExecutor(duration.toMillis(), TimeUnit.MILLISECONDS)).join();
		add("idle", before, (this.time.now().nanos() - start) / NANOS_PER_SECOND, 0, usages);
	}

	private List<LinkUsage> sample() throws LoadException, ProcessGoneException {
		List<LinkUsage> samples = new ArrayList<>();
		for (WatchedProcess process : this.processes) {
			samples.add(this.usage.sample(process));
		}
		return samples;
	}

	private void add(String phase, List<LinkUsage> before, double seconds, long tasks, List<PhaseUsage> usages)
			throws LoadException, ProcessGoneException {
		List<LinkUsage> after = sample();
		for (int i = 0; i < after.size(); i++) {
			double nanos = after.get(i).process().processorNanos() - before.get(i).process().processorNanos();
			double bytes = after.get(i).linkBytes() - before.get(i).linkBytes();
			double perTask = (tasks > 0) ? nanos / NANOS_PER_MICRO / tasks : 0;
			usages.add(new PhaseUsage(this.processes.get(i).name(), phase, nanos / NANOS_PER_SECOND / seconds, perTask,
					after.get(i).process().residentBytes(), bytes / seconds));
		}
	}

	/**
	 * Runs one phase.
	 */
	@FunctionalInterface
	private interface PhaseRun {

		LoadPhase run() throws LoadException;

	}

}
