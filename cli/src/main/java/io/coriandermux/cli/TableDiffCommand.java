package io.coriandermux.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coriandermux.config.ItemChange;
import io.coriandermux.config.JsonDocuments;
import io.coriandermux.config.TableDiff;
import io.coriandermux.config.TableDocument;
import io.coriandermux.config.TableEditor;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParentCommand;

/**
 * Shows the changes between a table and a file or an earlier revision.
 */
@Command(name = "diff", mixinStandardHelpOptions = true,
		description = "Shows the changes from an earlier revision to the table, or from the table to a file.")
final class TableDiffCommand implements Callable<Integer> {

	@ParentCommand
	private TableCommandGroup parent;

	@Mixin
	private StoreOptions store;

	@Mixin
	private StoreOptions.Owner owner;

	@Mixin
	private OutputOptions output;

	@ArgGroup(multiplicity = "1")
	private ComparisonTarget target;

	@Override
	public Integer call() throws Exception {
		try (TableStore tables = this.store.open(this.output.context())) {
			TableDocument document = TableStore.document(tables.readAll(), this.parent.kind(), this.owner.id());
			List<ItemChange> changes = (this.target.file != null)
					? TableDiff.between(document.items(), readItems(this.target.file))
					: TableDiff.between(itemsAt(document, this.target.from), document.items());
			ObjectNode node = JsonNodeFactory.instance.objectNode().put("revision", document.revision());
			TableStore.addChanges(node.putArray("difference"), changes);
			String text = changes.isEmpty() ? "no difference"
					: String.join("\n", changes.stream().map(ItemChange::toString).toList());
			this.output.print(node, text);
			return ExitCode.OK.number();
		}
	}

	private List<JsonNode> readItems(Path file) throws Exception {
		JsonNode node = JsonDocuments.parse(file.toString(), InputFiles.read(file));
		return JsonDocuments.items(file.toString(), this.parent.kind().field(), node);
	}

	static List<JsonNode> itemsAt(TableDocument document, long revision) throws CliException {
		return TableEditor.itemsAt(document, revision)
			.orElseThrow(() -> new CliException(ExitCode.NOT_FOUND,
					"revision " + revision + " is not among the revisions of the retained audit records"));
	}

	/**
	 * The file or the revision that the table is compared with.
	 */
	static final class ComparisonTarget {

		@Option(names = "--file", description = "Compare the table with this file; - is standard input.")
		private Path file;

		@Option(names = "--from", paramLabel = "REVISION",
				description = "Compare this earlier revision with the table.")
		private Long from;

	}

}
