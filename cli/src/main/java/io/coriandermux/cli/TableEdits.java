package io.coriandermux.cli;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coriandermux.config.InvalidTablesException;
import io.coriandermux.config.PlannedEdit;
import io.coriandermux.config.TableDocument;
import io.coriandermux.config.TableEditor;
import io.coriandermux.config.TableKind;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.message.ConfigDocument;
import io.coriandermux.store.StoreException;

/**
 * Common course of all edits: read, plan, check, show the difference, write.
 */
final class TableEdits {

	private final TableKind kind;

	private final OwnerId owner;

	private final EditOptions options;

	private final OutputOptions output;

	TableEdits(TableKind kind, OwnerId owner, EditOptions options, OutputOptions output) {
		this.kind = kind;
		this.owner = owner;
		this.options = options;
		this.output = output;
	}

	/**
	 * Performs an edit.
	 * @param tables the tables in the store
	 * @param change yields the new items from the document that is edited
	 * @return the exit code
	 * @throws CliException if the change is not possible or another edit came first
	 * @throws StoreException if the store does not answer
	 * @throws InvalidTablesException if the documents with this edit break a rule
	 * @throws InterruptedException if the command is stopped
	 */
	int perform(TableStore tables, Change change)
			throws CliException, StoreException, InvalidTablesException, InterruptedException {
		List<ConfigDocument> documents = tables.readAll();
		TableDocument current = TableStore.document(documents, this.kind, this.owner);
		TableDocument base = base(current);
		List<JsonNode> items = change.apply(base);
		PlannedEdit plan = new TableEditor().plan(documents, base, items, this.options.identity(this.output.context()));
		if (base.revision() != current.revision()) {
			throw TableStore.conflict(plan, current);
		}
		ObjectNode result = JsonNodeFactory.instance.objectNode()
			.put("owner", this.owner.value())
			.put("editId", plan.edited().identity().editId())
			.put("fromRevision", base.revision());
		TableStore.addChanges(result.putArray("difference"), plan.difference());
		if (plan.difference().isEmpty()) {
			return done(result.put("written", false), plan, "nothing to change at revision " + base.revision());
		}
		if (this.options.dryRun()) {
			return done(result.put("written", false), plan,
					"dry run: the documents are valid with this edit; nothing was written");
		}
		EditResult written = tables.write(plan);
		result.put("written", true).put("toRevision", written.revision()).put("answerLost", written.recovered());
		result.put("droppedAuditRecords", plan.dropped().size());
		String note = written.recovered() ? " (an answer of the store was lost; the edit was found by its id)" : "";
		return done(result, plan, "edit " + plan.edited().identity().editId() + " is in force from revision "
				+ written.revision() + note);
	}

	private TableDocument base(TableDocument current) throws CliException {
		OptionalLong named = this.options.base();
		if (named.isEmpty() || named.getAsLong() == current.revision()) {
			return current;
		}
		Optional<List<JsonNode>> items = TableEditor.itemsAt(current, named.getAsLong());
		if (items.isEmpty()) {
			throw new CliException(ExitCode.CONFLICT, "the document stands at revision " + current.revision()
					+ ", and its audit records do not reach back to revision " + named.getAsLong());
		}
		return new TableDocument(this.kind, this.owner, named.getAsLong(), current.identity(), items.get(), List.of());
	}

	private int done(ObjectNode result, PlannedEdit plan, String summary) {
		StringBuilder text = new StringBuilder();
		plan.difference().forEach((difference) -> text.append(difference).append('\n'));
		this.output.print(result, text + summary);
		return ExitCode.OK.number();
	}

	/**
	 * Yields the new items of a table.
	 */
	@FunctionalInterface
	interface Change {

		/**
		 * Returns the new items.
		 * @param base the document that is edited
		 * @return the items
		 * @throws CliException if the change is not possible
		 * @throws InvalidTablesException if the input breaks a rule
		 */
		List<JsonNode> apply(TableDocument base) throws CliException, InvalidTablesException;

	}

}
