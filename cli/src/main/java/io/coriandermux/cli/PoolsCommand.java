package io.coriandermux.cli;

import io.coriandermux.config.TableKind;
import picocli.CommandLine.Command;

/**
 * Parent of the commands for the pools of an owner.
 */
@Command(name = "pools", mixinStandardHelpOptions = true, description = "Reads and edits the pools of an owner.",
		subcommands = { TableGetCommand.class, TableSetCommand.class, TableEditCommand.class, TableDiffCommand.class,
				TableHistoryCommand.class, TableRollbackCommand.class })
final class PoolsCommand implements TableCommandGroup {

	@Override
	public TableKind kind() {
		return TableKind.POOLS;
	}

}
