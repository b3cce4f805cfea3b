package io.coriandermux.cli;

import java.util.List;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coriandermux.config.AuditRecord;
import io.coriandermux.config.InvalidTablesException;
import io.coriandermux.config.TableDocument;
import io.coriandermux.config.TableKind;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.message.ConfigDocument;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Exports the audit records as one line of JSON each.
 */
@Command(name = "export", mixinStandardHelpOptions = true,
		description = "Prints every retained audit record as one line of JSON, oldest first within a document. "
				+ "A document keeps its newest 50 records, so export before they are dropped.")
final class AuditExportCommand implements Callable<Integer> {

	@Mixin
	private StoreOptions store;

	@Mixin
	private OutputOptions output;

	@Option(names = "--owner", description = "Export only the records of this owner (default: all).")
	private String owner;

	@Option(names = "--after", paramLabel = "REVISION", defaultValue = "0",
			description = "Export only edits based on this revision or a later one (default: ${DEFAULT-VALUE}).")
	private long after;

	@Override
	public Integer call() throws Exception {
		try (TableStore tables = this.store.open(this.output.context())) {
			List<ConfigDocument> documents = tables.readAll();
			for (ConfigDocument document : documents) {
				for (TableKind kind : TableKind.values()) {
					String prefix = "/config/" + kind.field() + "/";
					if (document.key().startsWith(prefix)) {
						export(documents, kind, new OwnerId(document.key().substring(prefix.length())));
					}
				}
			}
			return ExitCode.OK.number();
		}
	}

	private void export(List<ConfigDocument> documents, TableKind kind, OwnerId id) throws InvalidTablesException {
		if (this.owner != null && !this.owner.equals(id.value())) {
			return;
		}
		TableDocument document = TableStore.document(documents, kind, id);
		for (AuditRecord record : document.audit()) {
			if (record.fromRevision() >= this.after) {
				ObjectNode line = JsonNodeFactory.instance.objectNode()
					.put("document", kind.key(id))
					.setAll(record.toJson());
				this.output.context().out().println(line);
			}
		}
		this.output.context().out().flush();
	}

}
