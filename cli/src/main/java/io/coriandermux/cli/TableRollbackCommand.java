package io.coriandermux.cli;

import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParentCommand;

/**
 * Restores the content of an earlier revision by a new edit.
 */
@Command(name = "rollback", mixinStandardHelpOptions = true,
		description = "Restores the content of an earlier revision of the table as a new revision.")
final class TableRollbackCommand implements Callable<Integer> {

	@ParentCommand
	private TableCommandGroup parent;

	@Mixin
	private StoreOptions store;

	@Mixin
	private StoreOptions.Owner owner;

	@Mixin
	private EditOptions edit;

	@Mixin
	private OutputOptions output;

	@Option(names = "--to", paramLabel = "REVISION", required = true, description = "The revision to restore.")
	private long revision;

	@Override
	public Integer call() throws Exception {
		try (TableStore tables = this.store.open(this.output.context())) {
			return new TableEditWorkflow(this.parent.kind(), this.owner.id(), this.edit, this.output).execute(tables,
					(base) -> TableDiffCommand.itemsAt(base, this.revision));
		}
	}

}
