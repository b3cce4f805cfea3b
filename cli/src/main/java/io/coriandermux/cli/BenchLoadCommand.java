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
import io.coriandermux.bench.load.ProcessSampler;
import io.coriandermux.bench.load.ProcessUsageProbe;
import io.coriandermux.bench.load.WatchedProcess;
import io.coriandermux.http.UndertowHttpClient;
import io.coriandermux.wire.SystemTime;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs the load benchmark against running processes over loopback.
 */
@Command(name = "load", mixinStandardHelpOptions = true,
		description = "Submits jobs to running entries and reports added latency, throughput and usage.")
final class BenchLoadCommand implements Callable<Integer> {

	private static final int PROCESS_FIELDS = 3;

	private static final int MAX_JOBS = 100_000;

	private static final int MAX_CONNECTIONS = 1_000;

	@Option(names = "--entry", required = true,
			description = "Address of an entry's port for callers; may be repeated.")
	private List<URI> entries;

	@Option(names = "--key-file", required = true, description = "File with the owner's key.")
	private Path keyFile;

	@Option(names = "--path", required = true, description = "Path of every task.")
	private String path;

	@Option(names = "--sleep-ms", defaultValue = "0",
			description = "Run time of a task at the endpoint stand-in in ms.")
	private int sleepMillis;

	@Option(names = "--tasks", defaultValue = "1", description = "Number of tasks per job.")
	private int tasks;

	@Option(names = "--jobs", defaultValue = "5000", description = "Number of jobs per phase, at most 100000.")
	private int jobs;

	@Option(names = "--connections", defaultValue = "32", description = "Number of connections, at most 1000.")
	private int connections;

	@Option(names = "--idle-seconds", defaultValue = "10", description = "Length of the idle phase in seconds.")
	private int idleSeconds;

	@Option(names = "--limit-seconds", defaultValue = "120", description = "Time limit of a phase in seconds.")
	private int limitSeconds;

	@Option(names = "--process", paramLabel = "NAME,PID,URL",
			description = "Process to sample, with the URL of its operators' port; may be repeated.")
	private List<String> processes = List.of();

	@Override
	public Integer call() throws Exception {
		if (this.jobs < 1 || this.jobs > MAX_JOBS || this.connections < 1 || this.connections > MAX_CONNECTIONS) {
			throw new CliException(ExitCode.USAGE,
					"1 to " + MAX_JOBS + " jobs and 1 to " + MAX_CONNECTIONS + " connections are allowed");
		}
		LoadOptions options = new LoadOptions(this.entries, Files.readString(this.keyFile).strip(), this.path,
				this.sleepMillis, this.tasks, this.jobs, this.connections, Duration.ofSeconds(this.limitSeconds));
		try (UndertowHttpClient client = new UndertowHttpClient()) {
			ProcessUsageProbe usage = new ProcessUsageProbe(new ProcessSampler(Path.of("/proc")), client);
			LoadBench bench = new LoadBench(options, parseProcesses(), usage, client,
					new SystemTime(Clock.systemUTC()));
			System.out.print(new LoadReport().format(bench.run(Duration.ofSeconds(this.idleSeconds))));
		}
		return ExitCode.OK.number();
	}

	private List<WatchedProcess> parseProcesses() throws CliException {
		List<WatchedProcess> watched = new ArrayList<>();
		for (String process : this.processes) {
			String[] fields = process.split(",");
			if (fields.length != PROCESS_FIELDS) {
				throw new CliException(ExitCode.USAGE, "a process must be given as NAME,PID,URL: " + process);
			}
			watched.add(new WatchedProcess(fields[0], Long.parseLong(fields[1]), URI.create(fields[2])));
		}
		return watched;
	}

}
