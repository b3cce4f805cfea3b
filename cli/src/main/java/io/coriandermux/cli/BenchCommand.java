package io.coriandermux.cli;

import picocli.CommandLine.Command;

/**
 * Parent of the benchmark commands.
 */
@Command(name = "bench", mixinStandardHelpOptions = true,
		description = "Benchmarks the scheduling policy, running processes and resource usage.", subcommands = {
				BenchPolicyCommand.class, BenchBatchCommand.class, BenchLoadCommand.class, BenchCapacityCommand.class })
final class BenchCommand {

}
