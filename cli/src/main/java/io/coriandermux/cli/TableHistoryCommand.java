package io.coriandermux.cli;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coriandermux.config.AuditRecord;
import io.coriandermux.config.TableDocument;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParentCommand;

/**
 * Shows the audit records of a table.
 */
@Command(name = "history", mixinStandardHelpOptions = true,
		description = "Shows the retained audit records: editor, time, edit id, revisions and changes.")
final class TableHistoryCommand implements Callable<Integer> {

	@ParentCommand
	private TableCommandGroup parent;

	@Mixin
	private StoreOptions store;

	@Mixin
	private StoreOptions.Owner owner;

	@Mixin
	private OutputOptions output;

	@Option(names = "--edit", paramLabel = "ID", description = "Show only this edit; exit code 7 if it is not found.")
	private String edit;

	@Override
	public Integer call() throws Exception {
		try (TableStore tables = this.store.open(this.output.context())) {
			TableDocument document = TableStore.document(tables.readAll(), this.parent.kind(), this.owner.id());
			print(document, selectRecords(document));
			return ExitCode.OK.number();
		}
	}

	private List<AuditRecord> selectRecords(TableDocument document) throws CliException {
		if (this.edit == null) {
			return document.audit();
		}
		Optional<AuditRecord> found = document.auditRecord(this.edit);
		if (found.isEmpty()) {
			throw new CliException(ExitCode.NOT_FOUND, "the edit " + this.edit + " is not among the "
					+ document.audit().size() + " retained audit records");
		}
		return List.of(found.get());
	}

	private void print(TableDocument document, List<AuditRecord> records) {
		ObjectNode node = JsonNodeFactory.instance.objectNode()
			.put("owner", document.owner().value())
			.put("revision", document.revision());
		ArrayNode list = node.putArray("audit");
		StringBuilder text = new StringBuilder("revision ").append(document.revision());
		for (AuditRecord record : records) {
			list.add(record.toJson());
			text.append("\n")
				.append(record.fromRevision())
				.append(" -> ")
				.append(record.toRevision())
				.append("  ")
				.append(record.identity().editedAt())
				.append("  ")
				.append(record.identity().editor())
				.append("  ")
				.append(record.identity().editId());
			record.difference()
				.forEach((change) -> text.append("\n  ").append(change.toString().replace("\n", "\n  ")));
		}
		this.output.print(node, text.toString());
	}

}
