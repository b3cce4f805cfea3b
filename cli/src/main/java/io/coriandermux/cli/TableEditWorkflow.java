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
 * Workflow of all edits of a table: read, plan, validate, write, and print the
 * difference.
 */
final class TableEditWorkflow {

	private final TableKind kind;

	private final OwnerId owner;

	private final EditOptions options;

	private final OutputOptions output;

	TableEditWorkflow(TableKind kind, OwnerId owner, EditOptions options, OutputOptions output) {
		this.kind = kind;
		this.owner = owner;
		this.options = options;
		this.output = output;
	}

	/**
	 * Executes an edit.
	 * @param tables the tables in the store
	 * @param transformation returns the new items for the base document
	 * @return the exit code
	 * @throws CliException if the change is not possible or another edit was written
	 * first
	 * @throws StoreException if the store does not answer
	 * @throws InvalidTablesException if the documents with this edit violate a rule
	 * @throws InterruptedException if the thread is interrupted
	 */
	int execute(TableStore tables, ItemsTransformation transformation)
			throws CliException, StoreException, InvalidTablesException, InterruptedException {
		List<ConfigDocument> documents = tables.readAll();
		TableDocument current = TableStore.document(documents, this.kind, this.owner);
		TableDocument base = baseDocument(current);
		List<JsonNode> items = transformation.apply(base);
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
			return printResult(result.put("written", false), plan, "nothing to change at revision " + base.revision());
		}
		if (this.options.isDryRun()) {
			return printResult(result.put("written", false), plan,
					"dry run: the documents are valid with this edit; nothing was written");
		}
		EditResult written = tables.write(plan);
		result.put("written", true).put("toRevision", written.revision()).put("answerLost", written.answerLost());
		result.put("droppedAuditRecords", plan.dropped().size());
		String note = written.answerLost() ? " (an answer of the store was lost; the edit was found by its id)" : "";
		return printResult(result, plan, "edit " + plan.edited().identity().editId() + " is in force from revision "
				+ written.revision() + note);
	}

	private TableDocument baseDocument(TableDocument current) throws CliException {
		OptionalLong requestedBase = this.options.base();
		if (requestedBase.isEmpty() || requestedBase.getAsLong() == current.revision()) {
			return current;
		}
		Optional<List<JsonNode>> items = TableEditor.itemsAt(current, requestedBase.getAsLong());
		if (items.isEmpty()) {
			throw new CliException(ExitCode.CONFLICT, "the document is at revision " + current.revision()
					+ ", and its audit records do not reach back to revision " + requestedBase.getAsLong());
		}
		return new TableDocument(this.kind, this.owner, requestedBase.getAsLong(), current.identity(), items.get(),
				List.of());
	}

	private int printResult(ObjectNode result, PlannedEdit plan, String summary) {
		StringBuilder text = new StringBuilder();
		plan.difference().forEach((difference) -> text.append(difference).append('\n'));
		this.output.print(result, text + summary);
		return ExitCode.OK.number();
	}

	/**
	 * Computes the new items of a table.
	 */
	@FunctionalInterface
	interface ItemsTransformation {

		/**
		 * Returns the new items.
		 * @param base the document that the edit is based on
		 * @return the items
		 * @throws CliException if the change is not possible
		 * @throws InvalidTablesException if the input violates a rule
		 */
		List<JsonNode> apply(TableDocument base) throws CliException, InvalidTablesException;

	}

}
