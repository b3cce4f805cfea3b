package io.coriandermux.cli;

import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coriandermux.config.TableDocument;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.ParentCommand;

/**
 * Prints a table with its revision.
 */
@Command(name = "get", mixinStandardHelpOptions = true, description = "Prints the table with its revision.")
final class TableGetCommand implements Callable<Integer> {

	@ParentCommand
	private TableCommandGroup parent;

	@Mixin
	private StoreOptions store;

	@Mixin
	private StoreOptions.Owner owner;

	@Mixin
	private OutputOptions output;

	@Override
	public Integer call() throws Exception {
		try (TableStore tables = this.store.open(this.output.context())) {
			TableDocument document = TableStore.document(tables.readAll(), this.parent.kind(), this.owner.id());
			ObjectNode node = JsonNodeFactory.instance.objectNode().put("owner", document.owner().value());
			node.put("revision", document.revision());
			document.identity().writeTo(node);
			ArrayNode items = node.putArray(document.kind().field());
			document.items().forEach(items::add);
			this.output.print(node);
			return ExitCode.OK.number();
		}
	}

}
