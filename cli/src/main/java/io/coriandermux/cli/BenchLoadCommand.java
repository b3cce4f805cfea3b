package io.coriandermux.cli;

import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

import io.coriandermux.bench.load.LoadBench;
import io.coriandermux.bench.load.LoadOptions;
import io.coriandermux.bench.load.LoadReport;
import io.coriandermux.bench.load.MetricsUsage;
import io.coriandermux.bench.load.ProcessSampler;
import io.coriandermux.bench.load.WatchedProcess;
import io.coriandermux.http.PooledHttpClient;
import io.coriandermux.wire.SystemTime;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures running processes over loopback.
 */
@Command(name = "load", mixinStandardHelpOptions = true,
		description = "Submits jobs to running entries and reports added latency, throughput and usage.")
final class BenchLoadCommand implements Callable<Integer> {

	private static final int PROCESS_PARTS = 3;

	private static final int MAX_JOBS = 100_000;

	private static final int MAX_CONNECTIONS = 1_000;

	@Option(names = "--entry", required = true, description = "Callers' port of an entry; may be given several times.")
	private List<URI> entries;

	@Option(names = "--key-file", required = true, description = "File with the owner's key.")
	private Path keyFile;

	@Option(names = "--path", required = true, description = "Path of the tasks.")
	private String path;

	@Option(names = "--sleep-ms", defaultValue = "0", description = "Time of a task at the endpoint stand-in.")
	private int sleepMillis;

	@Option(names = "--tasks", defaultValue = "1", description = "Tasks of a job.")
	private int tasks;

	@Option(names = "--jobs", defaultValue = "5000", description = "Jobs of each phase, at most 100000.")
	private int jobs;

	@Option(names = "--connections", defaultValue = "32", description = "Connections, at most 1000.")
	private int connections;

	@Option(names = "--idle-seconds", defaultValue = "10", description = "Length of the idle phase.")
	private int idleSeconds;

	@Option(names = "--limit-seconds", defaultValue = "120", description = "Longest time of a phase.")
	private int limitSeconds;

	@Option(names = "--process", paramLabel = "NAME,PID,URL",
			description = "Process to watch with its operators' port; may be given several times.")
	private List<String> processes = List.of();

	@Override
	public Integer call() throws Exception {
		if (this.jobs < 1 || this.jobs > MAX_JOBS || this.connections < 1 || this.connections > MAX_CONNECTIONS) {
			throw new CliException(ExitCode.USAGE,
					"1 to " + MAX_JOBS + " jobs and 1 to " + MAX_CONNECTIONS + " connections are possible");
		}
		LoadOptions options = new LoadOptions(this.entries, Files.readString(this.keyFile).strip(), this.path,
				this.sleepMillis, this.tasks, this.jobs, this.connections, Duration.ofSeconds(this.limitSeconds));
		try (PooledHttpClient caller = new PooledHttpClient()) {
			MetricsUsage usage = new MetricsUsage(new ProcessSampler(Path.of("/proc")), caller);
			LoadBench bench = new LoadBench(options, watched(), usage, caller, new SystemTime(Clock.systemUTC()));
			System.out.print(new LoadReport().format(bench.run(Duration.ofSeconds(this.idleSeconds))));
		}
		return ExitCode.OK.number();
	}

	private List<WatchedProcess> watched() throws CliException {
		List<WatchedProcess> watched = new ArrayList<>();
		for (String process : this.processes) {
			String[] parts = process.split(",");
			if (parts.length != PROCESS_PARTS) {
				throw new CliException(ExitCode.USAGE, "a process is given as NAME,PID,URL: " + process);
			}
			watched.add(new WatchedProcess(parts[0], Long.parseLong(parts[1]), URI.create(parts[2])));
		}
		return watched;
	}

}
