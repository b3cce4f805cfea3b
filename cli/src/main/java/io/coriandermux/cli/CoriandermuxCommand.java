package io.coriandermux.cli;

import io.coriandermux.version.VersionProvider;
import picocli.CommandLine.Command;

/**
 * The root command, which holds the context of all commands.
 */
@Command(name = "coriandermux", mixinStandardHelpOptions = true, versionProvider = VersionProvider.class,
		description = "Operates coriandermux and submits jobs to it.",
		footer = "Exit codes are explained in docs/operators.md.",
		subcommands = { RoutesCommand.class, PoolsCommand.class, AuditCommand.class, JobCommand.class,
				StatusCommand.class, ExplainCommand.class, FailuresCommand.class, EventsCommand.class,
				DrainCommand.class, TopCommand.class, SummarizeLogCommand.class, BenchCommand.class })
final class CoriandermuxCommand {

	private final CliContext context;

	CoriandermuxCommand(CliContext context) {
		this.context = context;
	}

	CliContext context() {
		return this.context;
	}

}
