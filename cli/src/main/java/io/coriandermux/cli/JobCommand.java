package io.coriandermux.cli;

import picocli.CommandLine.Command;

/**
 * Parent of the commands for jobs.
 */
@Command(name = "job", mixinStandardHelpOptions = true, description = "Submits, reads and cancels jobs.",
		subcommands = { JobSubmitCommand.class, JobGetCommand.class, JobCancelCommand.class })
final class JobCommand {

}
