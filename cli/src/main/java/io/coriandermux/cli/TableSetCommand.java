package io.coriandermux.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import io.coriandermux.config.JsonDocuments;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParentCommand;

/**
 * Replaces a table with the content of a file.
 */
@Command(name = "set", mixinStandardHelpOptions = true, description = "Replaces the table with the content of a file.")
final class TableSetCommand implements Callable<Integer> {

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

	@Option(names = "--file", required = true,
			description = "File with a JSON list, or an object as printed by get --json; - is standard input.")
	private Path file;

	@Override
	public Integer call() throws Exception {
		String name = this.file.toString();
		JsonNode node = JsonDocuments.parse(name, InputFiles.read(this.file));
		List<JsonNode> items = JsonDocuments.items(name, this.parent.kind().field(), node);
		try (TableStore tables = this.store.open(this.output.context())) {
			return new TableEditWorkflow(this.parent.kind(), this.owner.id(), this.edit, this.output).execute(tables,
					(base) -> items);
		}
	}

}
