package io.coriandermux.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coriandermux.config.AuditRecord;
import io.coriandermux.config.ConfigKeys;
import io.coriandermux.config.InvalidTablesException;
import io.coriandermux.config.ItemChange;
import io.coriandermux.config.PlannedEdit;
import io.coriandermux.config.TableDiff;
import io.coriandermux.config.TableDocument;
import io.coriandermux.config.TableKind;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.message.ConfigDocument;
import io.coriandermux.store.StoreClient;
import io.coriandermux.store.StoreConflictException;
import io.coriandermux.store.StoreException;
import io.coriandermux.store.StoreUnavailableException;

/**
 * Reads and writes the tables in the store.
 */
final class TableStore implements AutoCloseable {

	private static final int ATTEMPTS = 4;

	private static final long PAUSE_MILLIS = 250;

	private final StoreClient client;

	private final Pause pause;

	TableStore(StoreClient client, Pause pause) {
		this.client = client;
		this.pause = pause;
	}

	/**
	 * Reads all documents.
	 * @return the documents
	 * @throws StoreException if the store does not answer
	 */
	List<ConfigDocument> readAll() throws StoreException {
		return this.client.readPrefix(ConfigKeys.PREFIX)
			.entries()
			.stream()
			.map((entry) -> new ConfigDocument(entry.key(), new Revision(entry.revision()), entry.value()))
			.toList();
	}

	/**
	 * Returns an owner's document.
	 * @param documents all documents
	 * @param kind the table
	 * @param owner the owner
	 * @return the document, or an absent one
	 * @throws InvalidTablesException if the document is damaged
	 */
	static TableDocument document(List<ConfigDocument> documents, TableKind kind, OwnerId owner)
			throws InvalidTablesException {
		for (ConfigDocument document : documents) {
			if (document.key().equals(kind.key(owner))) {
				return TableDocument.of(kind, owner, document.revision().value(), document.json());
			}
		}
		return TableDocument.absent(kind, owner);
	}

	/**
	 * Writes an edit. If an answer is lost, the same compare-and-swap is repeated: it
	 * either takes effect now, or meets the document in which its edit id shows whether
	 * it took effect before.
	 * @param plan the edit
	 * @return the result
	 * @throws CliException if another edit came first, or the effect stays unknown
	 * @throws StoreException if the store certainly did not receive the edit, or rejects
	 * it
	 * @throws InvalidTablesException if the document in the store is damaged
	 * @throws InterruptedException if the command is stopped
	 */
	EditResult write(PlannedEdit plan)
			throws CliException, StoreException, InvalidTablesException, InterruptedException {
		TableDocument edited = plan.edited();
		String key = edited.kind().key(edited.owner());
		boolean sent = false;
		for (int attempt = 1;; attempt++) {
			try {
				return new EditResult(this.client.put(key, edited.toJson(), plan.base().revision(), Optional.empty()),
						sent);
			}
			catch (StoreConflictException ex) {
				return resolve(plan, ex);
			}
			catch (StoreUnavailableException ex) {
				sent = sent || ex.isPossiblySent();
				if (attempt == ATTEMPTS && !sent) {
					throw ex;
				}
				if (attempt == ATTEMPTS) {
					throw unknown(plan, ex);
				}
				this.pause.await(PAUSE_MILLIS * attempt);
			}
		}
	}

	@Override
	public void close() {
		this.client.close();
	}

	private static EditResult resolve(PlannedEdit plan, StoreConflictException ex)
			throws CliException, InvalidTablesException {
		TableKind kind = plan.base().kind();
		OwnerId owner = plan.base().owner();
		TableDocument current = ex.value().isPresent() ? TableDocument.of(kind, owner, ex.revision(), ex.value().get())
				: TableDocument.absent(kind, owner);
		Optional<AuditRecord> own = current.auditRecord(plan.edited().identity().editId());
		if (own.isPresent()) {
			return new EditResult(own.get().toRevision(), true);
		}
		throw conflict(plan, current);
	}

	/**
	 * Describes a conflict with both sides.
	 * @param plan the own edit
	 * @param current the document in the store
	 * @return the exception
	 */
	static CliException conflict(PlannedEdit plan, TableDocument current) {
		List<ItemChange> theirs = TableDiff.between(plan.base().items(), current.items());
		List<AuditRecord> edits = current.audit()
			.stream()
			.filter((record) -> record.fromRevision() >= plan.base().revision())
			.toList();
		ObjectNode detail = JsonNodeFactory.instance.objectNode()
			.put("baseRevision", plan.base().revision())
			.put("currentRevision", current.revision());
		addChanges(detail.putArray("yours"), plan.difference());
		addChanges(detail.putArray("theirs"), theirs);
		ArrayNode others = detail.putArray("theirEdits");
		edits.forEach((record) -> record.identity().writeTo(others.addObject()));
		List<String> lines = new ArrayList<>();
		lines.add("your edit was made from revision " + plan.base().revision()
				+ ", but the document stands at revision " + current.revision() + "; nothing was written");
		edits.forEach((record) -> lines
			.add("edited by " + record.identity().editor() + " at " + record.identity().editedAt()));
		lines.add("their changes:");
		theirs.forEach((change) -> lines.add(change.toString()));
		lines.add("your changes:");
		plan.difference().forEach((change) -> lines.add(change.toString()));
		return new CliException(ExitCode.CONFLICT, String.join("\n", lines), detail);
	}

	static void addChanges(ArrayNode list, List<ItemChange> changes) {
		changes.forEach((change) -> list.add(change.toJson().put("kind", change.kind())));
	}

	private static CliException unknown(PlannedEdit plan, StoreUnavailableException ex) {
		String id = plan.edited().identity().editId();
		return new CliException(ExitCode.EFFECT_UNKNOWN,
				"the store did not answer, so the edit may or may not be in force; when the store answers again, "
						+ "look for it with \"history --edit " + id + "\" (" + ex.getMessage() + ")",
				JsonNodeFactory.instance.objectNode().put("editId", id));
	}

}
