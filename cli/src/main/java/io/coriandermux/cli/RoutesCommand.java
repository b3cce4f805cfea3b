package io.coriandermux.cli;

import io.coriandermux.config.TableKind;
import picocli.CommandLine.Command;

/**
 * Parent of the commands for the routes of an owner.
 */
@Command(name = "routes", mixinStandardHelpOptions = true, description = "Reads and edits the routes of an owner.",
		subcommands = { TableGetCommand.class, TableSetCommand.class, TableEditCommand.class, TableDiffCommand.class,
				TableHistoryCommand.class, TableRollbackCommand.class })
final class RoutesCommand implements TableCommandGroup {

	@Override
	public TableKind kind() {
		return TableKind.ROUTES;
	}

}
