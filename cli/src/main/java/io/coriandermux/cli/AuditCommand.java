package io.coriandermux.cli;

import picocli.CommandLine.Command;

/**
 * Parent of the commands for the audit records.
 */
@Command(name = "audit", mixinStandardHelpOptions = true, description = "Exports the audit records of the tables.",
		subcommands = AuditExportCommand.class)
final class AuditCommand {

}
