package io.coriandermux.cli;

import java.util.concurrent.Callable;

import io.coriandermux.bench.batch.BatchBenchReport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Runs the batch policy in virtual time.
 */
@Command(name = "batch", mixinStandardHelpOptions = true,
		description = "Runs the batch policy under patterns of heavy load in virtual time.")
final class BenchBatchCommand implements Callable<Integer> {

	@Mixin
	private OutputOptions output;

	@Option(names = "--seed", defaultValue = "1", description = "Seed of the first run (default: ${DEFAULT-VALUE}).")
	private long seed;

	@Option(names = "--runs", defaultValue = "20",
			description = "Number of runs with consecutive seeds (default: ${DEFAULT-VALUE}).")
	private int runs;

	@Option(names = "--references", description = "Add the policies to compare with.")
	private boolean references;

	@Override
	public Integer call() throws CliException {
		if (this.runs < 1) {
			throw new CliException(ExitCode.USAGE, "at least one run is required");
		}
		new BatchBenchReport(this.output.context().out()).print(this.seed, this.runs, this.references);
		return ExitCode.OK.number();
	}

}
